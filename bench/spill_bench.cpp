#include "tests/entry/routing_support/fleet.hpp"

#include <array>
#include <iostream>

using namespace mulberryrudder;
using namespace mulberryrudder::entry;

namespace
{

constexpr std::array<char const*, 3> regions{"marmara", "ic-anadolu", "ege"};
constexpr std::array<char const*, 6> domains{"m1", "m2", "i1", "i2", "e1", "e2"};
constexpr std::int64_t slots_a_target = 8;
constexpr std::size_t targets_a_domain = 4;
constexpr span service = milliseconds(20);

/// How requests may leave a failure domain.
struct spill_policy
{
    std::string name;
    std::int64_t announced_slots; ///< What the entries believe of a target.
    std::int64_t grant;           ///< Requests that an entry may run in another domain.
};

/// Three regions at 60 percent of their slots, of which the first loses its targets.
class regional_failure
{
public:
    regional_failure(std::uint64_t seed, spill_policy const& policy)
        : random_(seed), fleet_({.seed = seed, .config = config_with({{"a", 1000}})})
    {
        for (std::uint32_t n = 0; n != 12; ++n)
            fleet_.add_entry(instance_at(n + 1, regions[n % 6 / 2], domains[n % 6]));
        for (std::size_t n = 0; n != domains.size() * targets_a_domain; ++n)
            fleet_.add_target(
                target_at("t" + std::to_string(n), domains[n % 6], policy.announced_slots),
                [](send_attempt const&) { return service; });
        fleet_.headroom = [policy](instance_description const& to)
        {
            std::vector<messages::headroom_grant> out;
            for (auto const* const it : domains)
                if (domain_id(it) != to.domain)
                    out.push_back({.to = domain_id(it), .running = slots(policy.grant)});
            return out;
        };
    }

    void run(std::uint64_t seed, std::string const& name)
    {
        begin_ = fleet_.now() + seconds(6);
        failed_ = begin_ + seconds(4);
        std::exponential_distribution<double> gap(5760 / 1e6);
        for (double t = 0; t < 12e6; t += gap(random_))
            fleet_.at(begin_ + microseconds(static_cast<std::int64_t>(t)), [this] { ask(); });
        fleet_.at(failed_, [this] { fail_region(); });
        fleet_.run_until(begin_ + seconds(16), [this] { watch(); });
        print(seed, name);
    }

private:
    void ask()
    {
        ++asked_;
        instance_id const who(1 + static_cast<std::uint32_t>(random_() % 12));
        fleet_.ask(who, seconds(1), "a", call_method::get,
                   [this](outcome const& how)
                   {
                       if (std::holds_alternative<answered>(how))
                           return;
                       ++refused_;
                       ++reasons_[std::string(std::get<refused>(how).why->what().name)];
                       last_refused_ = fleet_.now();
                   });
    }

    void fail_region()
    {
        for (auto& [id, it] : fleet_.targets())
            if (it.said.domain == domain_id("m1") || it.said.domain == domain_id("m2"))
                it.up = false;
    }

    /// Takes the peak load of each region that lives.
    void watch()
    {
        std::map<std::string, std::int64_t> running;
        for (auto const& [id, it] : fleet_.targets())
            running[it.said.domain.value().substr(0, 1)] += it.running;
        for (auto const& [region, n] : running)
            peak_ =
                std::max(peak_, static_cast<double>(n) / (slots_a_target * targets_a_domain * 2.0));
    }

    void print(std::uint64_t seed, std::string const& name)
    {
        std::int64_t peak = 0;
        for (auto const& [id, it] : fleet_.targets())
            peak = std::max(peak, it.peak);
        auto const settled = std::max(span(0), span(last_refused_ - failed_));
        std::cout << "spill seed=" << seed << " policy=" << name << " peak_region_load=" << peak_
                  << " peak_target_load="
                  << static_cast<double>(peak) / static_cast<double>(slots_a_target)
                  << " refused=" << refused_ << "/" << asked_
                  << " last_refusal_after_ms=" << settled.count() / 1000;
        for (auto const& [reason, n] : reasons_)
            std::cout << " " << reason << "=" << n;
        for (auto const* const counter :
             {"spill.sent", "spill.taken", "spill.returned", "spill.no_headroom"})
        {
            std::uint64_t sum = 0;
            for (std::uint32_t n = 1; n != 13; ++n)
                sum += fleet_.core_of(instance_id(n))->counter(counter);
            std::cout << " " << counter << "=" << sum;
        }
        std::cout << "\n";
    }

    std::mt19937_64 random_;
    fleet fleet_;
    instant begin_;
    instant failed_;
    instant last_refused_;
    std::uint64_t asked_ = 0;
    std::uint64_t refused_ = 0;
    double peak_ = 0;
    std::map<std::string, std::uint64_t> reasons_;
};

} // namespace

/// Prints the peak load over capacity after a region's targets fail at once: spill
/// within grants and slots, beside spill without either.
int main()
{
    for (std::uint64_t seed = 1; seed != 4; ++seed)
    {
        regional_failure(seed, {"granted_2", slots_a_target, 2}).run(seed, "granted_2");
        regional_failure(seed, {"granted_8", slots_a_target, 8}).run(seed, "granted_8");
        regional_failure(seed, {"unlimited", 1000, 1000}).run(seed, "unlimited");
    }
    return 0;
}
