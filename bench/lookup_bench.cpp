#include "plugins/entry/lookup/answer_table.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <random>

using namespace mulberryrudder;
using namespace mulberryrudder::entry;

namespace
{

constexpr std::size_t blocks = 330'000;
constexpr std::size_t sites = 140;
constexpr std::size_t entries = 600;
constexpr std::size_t clients = 1U << 20U;

client_address ipv4(std::uint32_t number)
{
    client_address out;
    out.bytes[10] = 0xFF;
    out.bytes[11] = 0xFF;
    for (std::size_t n = 0; n != 4; ++n)
        out.bytes[12 + n] = static_cast<std::uint8_t>(number >> (24 - 8 * n));
    return out;
}

/// Blocks of /20 to /24, each in a place of its own, and clients in and between them.
struct world
{
    world()
    {
        std::mt19937_64 random(20261204);
        std::map<std::uint32_t, int> chosen;
        while (chosen.size() != blocks)
            chosen[static_cast<std::uint32_t>(random()) & 0xFFFFF000U] =
                static_cast<int>(20 + random() % 5);
        for (auto const& [first, bits] : chosen)
        {
            site_index const site(static_cast<std::uint16_t>(random() % sites));
            listed.push_back(
                {{.first = ipv4(first), .prefix_bits = static_cast<std::uint8_t>(96 + bits)},
                 site});
            as_map[first] = site;
            as_map.try_emplace(first + (1U << (32 - bits)), no_site);
        }
        for (std::size_t n = 0; n != clients; ++n)
        {
            auto const& near = listed[random() % blocks].block.first.bytes;
            auto const base = std::uint32_t{near[12]} << 24U | std::uint32_t{near[13]} << 16U |
                              std::uint32_t{near[14]} << 8U;
            numbers.push_back(base + static_cast<std::uint32_t>(random() % 1024));
            addresses.push_back(ipv4(numbers.back()));
        }
        table = block_table(listed);
    }

    std::vector<block_site> listed;
    std::map<std::uint32_t, site_index> as_map;
    std::vector<std::uint32_t> numbers;
    std::vector<client_address> addresses;
    block_table table;
};

world const& shared_world()
{
    static world const it;
    return it;
}

std::vector<messages::member> members()
{
    std::vector<messages::member> out;
    for (std::uint32_t n = 0; n != entries; ++n)
        out.push_back(
            {.where = {.id = instance_id(n + 1),
                       .region = region_id("region" + std::to_string(n % 5)),
                       .domain = domain_id("domain" + std::to_string(n % 18)),
                       .caller = {.address = "10.20.30." + std::to_string(n % 250), .port = 8080}},
             .live = true,
             .free = slots(40 + n % 7)});
    return out;
}

/// Answers as at the target size: each site has one of 20 orders of the regions.
answer_table full_answers()
{
    std::vector<site_settings> settings;
    std::vector<std::string> names;
    for (std::size_t n = 0; n != sites; ++n)
    {
        names.push_back("site" + std::to_string(n));
        site_settings it{.name = names.back()};
        for (std::size_t k = 0; k != 5; ++k)
            it.nearest.push_back(region_id("region" + std::to_string((n + k * (1 + n % 4)) % 5)));
        settings.push_back(it);
    }
    answer_table out({.sites = settings,
                      .site_names = names,
                      .unknown = {.regions = {region_id("region0")}, .domain = {}},
                      .most_instances = 4});
    out.rebuild(members());
    return out;
}

void block_to_site(benchmark::State& state)
{
    auto const& it = shared_world();
    std::size_t n = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(it.table.find(it.addresses[n++ % clients]));
    state.SetItemsProcessed(state.iterations());
    state.counters["bytes_a_block"] =
        static_cast<double>(it.table.memory().count()) / static_cast<double>(blocks);
}

void block_to_site_by_std_map(benchmark::State& state)
{
    auto const& it = shared_world();
    std::size_t n = 0;
    for (auto _ : state)
    {
        auto found = it.as_map.upper_bound(it.numbers[n++ % clients]);
        benchmark::DoNotOptimize(found == it.as_map.begin() ? no_site : std::prev(found)->second);
    }
    state.SetItemsProcessed(state.iterations());
}

void ordered_answer_found(benchmark::State& state)
{
    auto const& it = shared_world();
    auto const answers = full_answers();
    std::size_t n = 0;
    for (auto _ : state)
    {
        auto const& client = it.addresses[n++ % clients];
        benchmark::DoNotOptimize(&answers.find(it.table.find(client), hash_of(client)));
    }
    state.SetItemsProcessed(state.iterations());
}

void ordered_answer_copied(benchmark::State& state)
{
    auto const& it = shared_world();
    auto const answers = full_answers();
    std::size_t n = 0;
    for (auto _ : state)
    {
        auto const& client = it.addresses[n++ % clients];
        ordered_answer copy = answers.find(it.table.find(client), hash_of(client));
        benchmark::DoNotOptimize(copy.data());
    }
    state.SetItemsProcessed(state.iterations());
}

void answers_rebuilt(benchmark::State& state)
{
    auto answers = full_answers();
    auto const usable = members();
    for (auto _ : state)
        answers.rebuild(usable);
}

BENCHMARK(block_to_site);
BENCHMARK(block_to_site_by_std_map);
BENCHMARK(ordered_answer_found);
BENCHMARK(ordered_answer_copied);
BENCHMARK(answers_rebuilt)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
