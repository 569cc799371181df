#ifndef MULBERRYRUDDER_TESTS_QUOTA_FLEET_QUOTA_CHECKS_HPP
#define MULBERRYRUDDER_TESTS_QUOTA_FLEET_QUOTA_CHECKS_HPP

#include "quota_fleet.hpp"

#include <set>
#include <vector>

namespace mulberryrudder::testing
{

/// Seeds of each test.
inline constexpr std::uint64_t seeds = 5;
/// Rates of small, usual and large customers, in requests a second.
inline constexpr std::int64_t rates[] = {3, 9, 30, 240};
/// Beside these, one of which each entry's part is too large to ask the leader.
inline constexpr std::int64_t rates_and_largest[] = {3, 9, 30, 66, 240, 1200};
inline constexpr std::size_t entries = 182;
/// What customers usually send, in thousandths of their rate.
inline constexpr per_mille usual_load{630};
/// 7.5 times as much.
inline constexpr per_mille excessive_load{4700};

/// Returns the sum of the counts of a record.
int sum_of(std::vector<int> const& counts);

std::set<std::size_t> first_entries(std::size_t count);

/// All instances are without power for a second, and start at once without a leader.
void lose_power(quota_fleet& fleet);

/// Expects the busiest window of the record to stay within the tolerated rate.
void check_window(quota_fleet const& fleet, std::int64_t rate, std::uint64_t seed);

} // namespace mulberryrudder::testing

#endif
