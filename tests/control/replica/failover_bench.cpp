#include "fake_group.hpp"

#include <algorithm>
#include <iostream>

/// Prints how long, in virtual time, no replica may act after the leader fails.
namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint64_t first_seed = 20261204;
constexpr std::uint64_t run_count = 500;

/// A failure of the leader.
struct leader_failure
{
    char const* name;
    void (*inject)(fake_group&, std::uint32_t leader);
};

constexpr leader_failure leader_failures[]{
    {"killed", [](fake_group& group, std::uint32_t leader) { group.kill(leader); }},
    {"isolated", [](fake_group& group, std::uint32_t leader) { group.isolate(leader); }},
    {"frozen", [](fake_group& group, std::uint32_t leader) { group.freeze(leader, seconds(60)); }},
};

span measure_outage(std::size_t size, std::uint64_t seed, leader_failure const& failure)
{
    fake_group group(size, seed);
    group.network.min_delay = milliseconds(20); // As between two regions.
    group.network.max_delay = milliseconds(25);
    for (std::uint32_t id = 1; id <= size; ++id)
        group.start(id);
    auto const has_leader = [&] { return group.acting_leader() != 0; };
    group.run_until(has_leader, seconds(30));
    group.run_for(seconds(2) + milliseconds(seed % 200));
    auto const leader = group.acting_leader();
    auto const failed_at = group.now();
    failure.inject(group, leader);
    auto const other_leads = [&]
    { return group.acting_leader() != 0 && group.acting_leader() != leader; };
    if (!group.run_until(other_leads, seconds(60)))
        throw std::runtime_error("no new leader within 60 seconds");
    return group.now() - failed_at;
}

std::int64_t in_milliseconds(span duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

void report(std::size_t size, leader_failure const& failure)
{
    std::vector<span> outages;
    for (std::uint64_t n = 0; n != run_count; ++n)
        outages.push_back(measure_outage(size, first_seed + n, failure));
    std::sort(outages.begin(), outages.end());
    std::cout << size << " replicas, leader " << failure.name << ": until another may act, p50 "
              << in_milliseconds(outages[run_count / 2]) << " ms, p99 "
              << in_milliseconds(outages[run_count * 99 / 100]) << " ms, longest "
              << in_milliseconds(outages.back()) << " ms, over " << run_count << " runs\n";
}

} // namespace

} // namespace mulberryrudder::control::testing

int main()
{
    using namespace mulberryrudder::control::testing;
    for (auto const size : {3U, 5U})
        for (auto const& failure : leader_failures)
            report(size, failure);
}
