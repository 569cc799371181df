#include "moves_simulation.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstring>
#include <iostream>
#include <map>

namespace
{

using namespace mulberryrudder;
using namespace mulberryrudder::bench;

constexpr std::uint64_t cases = 240;
constexpr std::uint64_t one_route_cases = 40;

/// Sums results of one kind of case.
struct tally
{
    int count = 0;
    int good_in_time = 0;
    int taken_back = 0;
    std::int64_t all = 0;
    std::int64_t to_faulty = 0;

    void add(move_result const& it)
    {
        ++count;
        good_in_time += it.reached && !it.taken_back ? 1 : 0;
        taken_back += it.taken_back ? 1 : 0;
        all += it.requests_all;
        to_faulty += it.requests_to_faulty;
    }

    double faulty_percent() const
    {
        return all == 0 ? 0 : 100.0 * static_cast<double>(to_faulty) / static_cast<double>(all);
    }
};

using tallies = std::map<fault_kind, tally>;

/// Runs moves whose version is bad on the first of two routes only.
void run_one_route_cases(tally& bad_route, tally& good_route)
{
    for (std::uint64_t seed = 1; seed <= one_route_cases; ++seed)
    {
        auto bad = draw_case(seed);
        bad.kind = fault_kind::at_once;
        bad.fault_rate = 0.5;
        auto good = bad;
        good.kind = fault_kind::none;
        auto const results = run_moves({bad, good}, seed);
        bad_route.add(results.front());
        good_route.add(results.back());
    }
}

void print_row(std::string_view name, tally const& it)
{
    std::cout << "  " << name << ": " << it.count << " cases, " << it.good_in_time << " in time, "
              << it.taken_back << " taken back, " << it.faulty_percent()
              << "% of the requests to a faulty version\n";
}

void print_table(char const* mover, tallies const& all)
{
    std::cout << mover << "\n";
    for (auto const& [kind, it] : all)
        print_row(to_string(kind), it);
}

boost::json::object as_json(tally const& it)
{
    return {{"cases", it.count},
            {"in_time", it.good_in_time},
            {"taken_back", it.taken_back},
            {"faulty_percent", it.faulty_percent()}};
}

boost::json::object as_json(tallies const& all)
{
    boost::json::object out;
    for (auto const& [kind, it] : all)
        out[to_string(kind)] = as_json(it);
    return out;
}

} // namespace

/// Runs random moves through the system's mover and through a fixed-step one.
/// `--json` prints one JSON object.
int main(int argc, char** argv)
{
    tallies ours;
    tallies naive;
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        auto const what = draw_case(seed);
        auto const result = run_move(what, seed);
        ours[what.kind].add(result);
        if (result.taken_back != what.is_bad() || (!what.is_bad() && !result.reached))
            std::cerr << "case " << seed << " (" << to_string(what.kind) << "): " << result.evidence
                      << "\n";
        naive[what.kind].add(run_naive_move(what, seed));
    }
    tally bad_route;
    tally good_route;
    run_one_route_cases(bad_route, good_route);
    if (argc > 1 && std::strcmp(argv[1], "--json") == 0)
    {
        std::cout << boost::json::serialize(
                         boost::json::object{{"moves", as_json(ours)},
                                             {"naive", as_json(naive)},
                                             {"bad on one route", as_json(bad_route)},
                                             {"good on the other route", as_json(good_route)}})
                  << "\n";
        return 0;
    }
    print_table("moves of the control instances", ours);
    print_row("bad on one route only", bad_route);
    print_row("the same version on its other route", good_route);
    print_table("fixed steps", naive);
}
