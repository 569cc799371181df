#ifndef MULBERRYRUDDER_BENCH_MOVES_SIMULATION_HPP
#define MULBERRYRUDDER_BENCH_MOVES_SIMULATION_HPP

#include "plugins/entry/versions/route_versions.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/core/random.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::bench
{

/// What is wrong with a new version.
enum class fault_kind
{
    none,       ///< As good as the old one.
    none_noisy, ///< As good, while both fail now and then.
    at_once,
    later,
    under_load,
    slow
};

std::string_view to_string(fault_kind kind);

/// How the versions of one simulated move behave.
struct move_case
{
    fault_kind kind = fault_kind::none;
    double requests_per_second = 500;
    double noise = 0.001;     ///< Part of the requests that fail on any version.
    double mean_ms = 10;      ///< Latency of a good reply, exponential.
    double fault_rate = 1.0;  ///< Part of the requests that fail while the fault shows.
    double slow_factor = 1.0; ///< Latency while the fault shows.
    span fault_after{};       ///< With `later`: since the start.
    double fault_share = 1.0; ///< With `under_load`: share from which on it shows.
    per_mille cap = whole_share;
    span leader_lost_after = span::max(); ///< Since the start; a new one follows in 3 s.
    span time{};                          ///< From the start to the deadline.

    bool is_bad() const { return kind > fault_kind::none_noisy; }
};

/// What became of a simulated move.
struct move_result
{
    bool reached = false; ///< The share was at the cap before the deadline.
    bool done = false;
    bool taken_back = false;
    std::int64_t requests_all = 0;
    std::int64_t requests_to_faulty = 0; ///< To the new version while its fault showed.
    std::int64_t requests_to_new = 0;
    std::string evidence; ///< That the move's end was reported with.
};

/// Draws what one request meets.
class simulated_versions
{
public:
    explicit simulated_versions(move_case const& what) : what_(what) {}

    /// Returns whether the new version's fault shows now.
    bool shows_fault(span since_start, double share) const;
    entry::version_outcome draw(bool faulty, random_source& random) const;

private:
    move_case const& what_;
};

/// Returns a random case; `seed` decides all of it.
move_case draw_case(std::uint64_t seed);

/// Runs a case with the control's moves and the entries' version rule.
move_result run_move(move_case const& what, std::uint64_t seed);

/// Runs several moves to the same version side by side, each on a route of its own.
/// Precondition: their times are equal.
std::vector<move_result> run_moves(std::vector<move_case> const& cases, std::uint64_t seed);

/// Runs a case with a fixed-step mover: a tenth more every tenth of the time, and
/// back if more than 5% of the last period's requests to the new version failed.
move_result run_naive_move(move_case const& what, std::uint64_t seed);

} // namespace mulberryrudder::bench

#endif
