#include "tests/entry/routing_support/fair_run.hpp"

#include <cstdlib>
#include <iostream>

using namespace mulberryrudder;
using namespace mulberryrudder::entry;

namespace
{

double in_milliseconds(span it)
{
    return static_cast<double>(it.count()) / 1000;
}

void compare(std::uint64_t seed, std::string const& order)
{
    auto const calm = run_fair({.seed = seed, .order = order});
    auto const surge = run_fair({.seed = seed, .order = order, .surge = 5});
    auto const moved =
        100 * (in_milliseconds(surge.worst_p99) / in_milliseconds(calm.worst_p99) - 1);
    std::cout << "fair seed=" << seed << " order=" << order
              << " worst_p99_calm_ms=" << in_milliseconds(calm.worst_p99)
              << " worst_p99_surge_ms=" << in_milliseconds(surge.worst_p99)
              << " moved_percent=" << moved << " others_refused=" << surge.refused << "/"
              << surge.asked << "\n";
}

} // namespace

/// Prints how far one customer at five times its rate moves the worst-served other
/// customer's p99 on virtual time: fair queueing beside first come first served.
/// Usage: fair_bench [SEEDS]
int main(int argc, char** argv)
{
    auto const seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        for (auto const* const order : {"start_time", "arrival"})
            compare(seed, order);
    return 0;
}
