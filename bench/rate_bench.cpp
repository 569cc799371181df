/// Measures wrongful refusals: a request is refused although a bucket of the customer's
/// whole rate and burst, from which all that was admitted so far has been taken, holds
/// a token at that time. Leased slices with borrowing run beside an even static split,
/// on the same arrivals, on virtual time.
///
/// Usage: rate_bench [--json]

#include <mulberryrudder/core/token_bucket.hpp>

#include <tests/lease_fleet/lease_fleet.hpp>

#include <cmath>
#include <cstdio>
#include <string_view>

namespace mulberryrudder::test
{

namespace
{

constexpr unsigned entries = 11;
/// The ledger's buckets fill first; requests start before the measured time.
constexpr span first_arrival = seconds(12);
constexpr span warm_up = seconds(15);
constexpr span measured = seconds(60);
constexpr std::uint64_t seeds[] = {1, 2, 3, 4, 5};

/// How requests arrive.
struct pattern
{
    char const* name;
    double batch;              ///< Mean requests that come together.
    double skew;               ///< Exponent of the instances' shares: 1 / rank^skew.
    span hot_for;              ///< After this the ranks move on to other instances.
    double utilisation = 0.95; ///< Demand over the customer's rate.
};

constexpr pattern patterns[] = {
    {.name = "steady, even", .batch = 1, .skew = 0, .hot_for = seconds(1000)},
    {.name = "bursty, even", .batch = 8, .skew = 0, .hot_for = seconds(1000)},
    {.name = "steady, skewed", .batch = 1, .skew = 1.5, .hot_for = seconds(10)},
    {.name = "bursty, skewed", .batch = 8, .skew = 1.5, .hot_for = seconds(10)},
    {.name = "steady, even, half",
     .batch = 1,
     .skew = 0,
     .hot_for = seconds(1000),
     .utilisation = 0.5},
    {.name = "bursty, skewed, half",
     .batch = 8,
     .skew = 1.5,
     .hot_for = seconds(10),
     .utilisation = 0.5},
};

struct customer
{
    char const* name;
    int rate;  ///< Requests per second.
    int burst; ///< Requests.
};

/// Eight customers, a few of them large.
constexpr customer customers[] = {{"a", 10, 20},   {"b", 10, 20},  {"c", 20, 40},
                                  {"d", 20, 40},   {"e", 50, 100}, {"f", 100, 100},
                                  {"g", 300, 300}, {"h", 600, 600}};

struct arrival
{
    instant when;
    unsigned entry;
    customer const* whose;

    friend bool operator<(arrival const& a, arrival const& b) { return a.when < b.when; }
};

struct tally
{
    std::uint64_t arrived = 0;
    std::uint64_t ideal = 0;   ///< Refused by one bucket for the fleet.
    std::uint64_t refused = 0; ///< By slices and loans.
    std::uint64_t leased = 0;  ///< Wrongly refused by slices and loans.
    std::uint64_t split = 0;   ///< Wrongly refused by an even static split.
    std::uint64_t waited = 0;  ///< Requests that waited for a loan.
    std::uint64_t borrowed = 0;
};

instant after(double its_seconds)
{
    return instant(span(static_cast<std::int64_t>(its_seconds * 1e6)));
}

unsigned pick_entry(pattern const& how, instant when, std::mt19937_64& random)
{
    double weights[entries];
    for (unsigned n = 0; n != entries; ++n)
        weights[n] = std::pow(n + 1.0, -how.skew);
    std::discrete_distribution<unsigned> rank(std::begin(weights), std::end(weights));
    auto const turns = static_cast<unsigned>(when.time_since_epoch() / how.hot_for);
    return (rank(random) + turns * 3) % entries;
}

void add_arrivals(customer const& whose, pattern const& how, std::mt19937_64& random,
                  std::vector<arrival>& out)
{
    std::exponential_distribution<double> gap(whose.rate * how.utilisation / how.batch);
    std::poisson_distribution<unsigned> others(how.batch - 1.0);
    auto const end = after(std::chrono::duration<double>(warm_up + measured).count());
    for (double at = std::chrono::duration<double>(first_arrival).count(); after(at) < end;
         at += gap(random))
    {
        auto const entry = pick_entry(how, after(at), random);
        auto const together = 1 + (how.batch > 1 ? others(random) : 0);
        for (unsigned n = 0; n != together; ++n)
            out.push_back({.when = after(at), .entry = entry, .whose = &whose});
    }
}

/// A full bucket of a part of the customer's rate and burst.
token_bucket bucket_of(customer const& whose, unsigned parts)
{
    token_bucket out;
    out.reshape({}, millitokens_per_second(1000LL * whose.rate / parts),
                millitokens(1000LL * whose.burst / parts));
    out.add(out.burst());
    return out;
}

/// What was decided about one request, when.
struct decision
{
    instant when;
    bool admitted;

    friend bool operator<(decision const& a, decision const& b) { return a.when < b.when; }
};

/// Counts the refusals after the warm-up while the customer's whole bucket had a token.
std::uint64_t wrongful(customer const& whose, std::vector<decision> decisions)
{
    std::stable_sort(decisions.begin(), decisions.end());
    auto whole = bucket_of(whose, 1);
    std::uint64_t out = 0;
    for (auto const& it : decisions)
    {
        whole.advance(it.when);
        if (it.admitted)
            whole.take(request_cost);
        else if (it.when >= instant(warm_up) && whole.tokens() >= request_cost)
            ++out;
    }
    return out;
}

std::vector<arrival> make_arrivals(pattern const& how, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> out;
    for (auto const& it : customers)
        add_arrivals(it, how, random, out);
    std::stable_sort(out.begin(), out.end());
    return out;
}

std::unique_ptr<lease_fleet> make_fleet(std::uint64_t seed)
{
    auto out = std::make_unique<lease_fleet>(
        fleet_options{.entries = entries, .controls = 3, .domains = 6, .seed = seed});
    std::map<std::string, std::pair<int, int>> rates;
    for (auto const& it : customers)
        rates[it.name] = {it.rate, it.burst};
    out->commit(lease_fleet::plain_config(1, rates));
    out->elect(0);
    return out;
}

/// Decides the arrivals of one customer by `parts` static buckets.
std::vector<decision> split_decisions(customer const& whose, std::vector<arrival> const& arrivals,
                                      unsigned parts)
{
    std::vector<token_bucket> buckets(parts, bucket_of(whose, parts));
    std::vector<decision> out;
    for (auto const& it : arrivals)
    {
        if (it.whose != &whose)
            continue;
        auto& from = buckets[it.entry % parts];
        from.advance(it.when);
        out.push_back({.when = it.when, .admitted = from.take(request_cost)});
    }
    return out;
}

std::uint64_t refusals(std::vector<decision> const& of)
{
    auto const counts = [](decision const& it)
    { return !it.admitted && it.when >= instant(warm_up); };
    return static_cast<std::uint64_t>(std::count_if(of.begin(), of.end(), counts));
}

void count_traffic(lease_fleet const& fleet, tally& out)
{
    for (unsigned n = 0; n != entries; ++n)
        for (auto const& [name, value] : fleet.counters(lease_fleet::entry_id(n)).snapshot())
        {
            out.waited += name == "rate.waited" ? value : 0;
            out.borrowed += name == "rate.borrow_requests" ? value : 0;
        }
}

void run(pattern const& how, std::uint64_t seed, tally& out)
{
    auto const arrivals = make_arrivals(how, seed);
    auto const fleet = make_fleet(seed);
    std::map<customer const*, std::vector<request_id>> asked;
    for (auto const& it : arrivals)
    {
        if (it.when > fleet->now())
            fleet->run_for(it.when - fleet->now());
        asked[it.whose].push_back(fleet->request(it.entry, it.whose->name));
        out.arrived += it.when >= instant(warm_up) ? 1 : 0;
    }
    fleet->run_for(seconds(2));
    for (auto const& [whose, ids] : asked)
    {
        std::vector<decision> leased;
        for (auto const id : ids)
            leased.push_back({.when = fleet->endings().at(id).when,
                              .admitted = fleet->outcome_of(id) == "answered"});
        out.refused += refusals(leased);
        out.leased += wrongful(*whose, std::move(leased));
        out.split += wrongful(*whose, split_decisions(*whose, arrivals, entries));
        out.ideal += refusals(split_decisions(*whose, arrivals, 1));
    }
    count_traffic(*fleet, out);
}

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(pattern const& how, tally const& it, bool json, bool last)
{
    auto const leased = percent(it.leased, it.arrived);
    auto const split = percent(it.split, it.arrived);
    auto const ideal = percent(it.ideal, it.arrived);
    auto const refused = percent(it.refused, it.arrived);
    auto const waited = percent(it.waited, it.arrived);
    char const* const form =
        json ? "  {\"pattern\": \"%s\", \"requests\": %llu, \"one_bucket_refused_percent\": %.4f, "
               "\"leased_refused_percent\": %.4f, "
               "\"leased_wrongful_percent\": %.4f, \"static_split_wrongful_percent\": %.4f, "
               "\"waited_percent\": %.2f, \"borrow_requests_per_entry_second\": %.2f}%s\n"
             : "%-16s %9llu requests: refused by one bucket %.4f%%, by slices and loans %.4f%%; "
               "wrongly by slices and loans %.4f%%, by an even split %.4f%%; waited %.2f%%, "
               "borrowing %.2f/s an entry%s\n";
    auto const time = std::chrono::duration<double>(warm_up + measured).count();
    auto const each = static_cast<double>(it.borrowed) / (time * entries * std::size(seeds));
    std::printf(form, how.name, static_cast<unsigned long long>(it.arrived), ideal, refused, leased,
                split, waited, each, json && !last ? "," : "");
}

} // namespace

} // namespace mulberryrudder::test

int main(int argc, char** argv)
{
    using namespace mulberryrudder::test;
    bool const json = argc > 1 && std::string_view(argv[1]) == "--json";
    if (json)
        std::printf("[\n");
    for (auto const& how : patterns)
    {
        tally sum;
        for (auto const seed : seeds)
            run(how, seed, sum);
        print(how, sum, json, &how == std::end(patterns) - 1);
    }
    if (json)
        std::printf("]\n");
}
