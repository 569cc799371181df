#include "quota_checks.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>
#include <string>

namespace mulberryrudder::testing
{

int sum_of(std::vector<int> const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0);
}

std::set<std::size_t> first_entries(std::size_t count)
{
    std::set<std::size_t> out;
    for (std::size_t n = 0; n != count; ++n)
        out.insert(n);
    return out;
}

void lose_power(quota_fleet& fleet)
{
    auto const all = first_entries(entries);
    fleet.suspend(all);
    fleet.run(seconds(1), per_mille(0));
    fleet.restart_controls();
    fleet.restart_entries(all);
    fleet.suspend({});
}

void check_window(quota_fleet const& fleet, std::int64_t rate, std::uint64_t seed)
{
    auto const most = fleet.record().most_in_window();
    auto const tolerated = admission_record::tolerated(rate);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " of " + std::to_string(tolerated) + ", rate " +
                               std::to_string(rate) + ", seed " + std::to_string(seed),
                           most <= tolerated);
}

} // namespace mulberryrudder::testing
