#include "fake_group.hpp"

#include <algorithm>
#include <iostream>

/// Prints how long, in virtual time, nobody may act after the leader is lost.
namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint64_t first_seed = 20261204;
constexpr std::uint64_t runs = 500;

/// A way to lose the leader.
struct loss
{
    char const* name;
    void (*strike)(fake_group&, std::uint32_t leader);
};

constexpr loss losses[]{
    {"killed", [](fake_group& group, std::uint32_t leader) { group.kill(leader); }},
    {"isolated", [](fake_group& group, std::uint32_t leader) { group.isolate(leader); }},
    {"frozen", [](fake_group& group, std::uint32_t leader) { group.freeze(leader, seconds(60)); }},
};

span time_without_leader(std::size_t size, std::uint64_t seed, loss const& how)
{
    fake_group group(size, seed);
    group.network.least_delay = milliseconds(20); // Between two regions.
    group.network.most_delay = milliseconds(25);
    for (std::uint32_t id = 1; id <= size; ++id)
        group.start(id);
    auto const acts = [&] { return group.acting() != 0; };
    group.run_until(acts, seconds(30));
    group.run_for(seconds(2) + milliseconds(seed % 200));
    auto const leader = group.acting();
    auto const begun = group.now();
    how.strike(group, leader);
    auto const other_acts = [&] { return group.acting() != 0 && group.acting() != leader; };
    if (!group.run_until(other_acts, seconds(60)))
        throw std::runtime_error("nobody leads");
    return group.now() - begun;
}

std::int64_t in_milliseconds(span it)
{
    return std::chrono::duration_cast<milliseconds>(it).count();
}

void report(std::size_t size, loss const& how)
{
    std::vector<span> spent;
    for (std::uint64_t n = 0; n != runs; ++n)
        spent.push_back(time_without_leader(size, first_seed + n, how));
    std::sort(spent.begin(), spent.end());
    std::cout << size << " replicas, leader " << how.name << ": until another may act, p50 "
              << in_milliseconds(spent[runs / 2]) << " ms, p99 "
              << in_milliseconds(spent[runs * 99 / 100]) << " ms, longest "
              << in_milliseconds(spent.back()) << " ms, over " << runs << " runs\n";
}

} // namespace

} // namespace mulberryrudder::control::testing

int main()
{
    using namespace mulberryrudder::control::testing;
    for (auto const size : {3U, 5U})
        for (auto const& how : losses)
            report(size, how);
}
