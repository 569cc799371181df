#include "plugins/entry/choice/choice_policy.hpp"
#include "tests/entry/routing_support/fleet.hpp"

#include <algorithm>
#include <array>
#include <iostream>

using namespace mulberryrudder;
using namespace mulberryrudder::entry;

namespace
{

constexpr int targets = 8;
constexpr double requests_a_second = 1600;

kernel::settings settings_for(std::string const& policy)
{
    auto out = kernel::settings::defaults();
    out.set(choice_section, {.policy = policy});
    return out;
}

/// One entry instance with eight targets; one is three times slower and reports that
/// it is idle, one reports that it is full.
class choice_run
{
public:
    choice_run(std::uint64_t seed, std::string const& policy)
        : random_(seed), service_(seed + 1),
          fleet_({.seed = seed, .settings = settings_for(policy)})
    {
        fleet_.add_entry(instance_at(1, "marmara", "m1"));
        for (int n = 0; n != targets; ++n)
        {
            auto said = target_at("t" + std::to_string(n), "m1", 8);
            said.load = load_report{slots(n == 1 ? 8 : 0), slots(8)};
            fleet_.add_target(said, [this, n](send_attempt const&) { return draw(n == 0); });
        }
    }

    void run(std::uint64_t seed, std::string const& policy)
    {
        auto const begin = fleet_.now() + seconds(6);
        std::exponential_distribution<double> gap(requests_a_second / 1e6);
        for (double t = 0; t < 20e6; t += gap(random_))
            fleet_.at(begin + microseconds(static_cast<std::int64_t>(t)), [this] { ask(); });
        fleet_.run_until(begin + seconds(23));
        std::sort(latencies_.begin(), latencies_.end());
        std::cout << "choice seed=" << seed << " policy=" << policy << " p50_ms=" << quantile(500)
                  << " p99_ms=" << quantile(990) << " answered=" << latencies_.size() << "/"
                  << asked_ << "\n";
    }

private:
    span draw(bool slow)
    {
        std::lognormal_distribution<double> time(9.74, 0.4);
        return microseconds(static_cast<std::int64_t>(time(service_) * (slow ? 3 : 1)));
    }

    void ask()
    {
        ++asked_;
        auto const asked = fleet_.now();
        fleet_.ask(instance_id(1), seconds(2), "", call_method::post,
                   [this, asked](outcome const& how)
                   {
                       if (std::holds_alternative<answered>(how))
                           latencies_.push_back(fleet_.now() - asked);
                   });
    }

    double quantile(std::size_t thousandths) const
    {
        auto const at = latencies_.size() * thousandths / 1000;
        return static_cast<double>(latencies_.at(at).count()) / 1000;
    }

    std::mt19937_64 random_;
    std::mt19937_64 service_;
    fleet fleet_;
    std::uint64_t asked_ = 0;
    std::vector<span> latencies_;
};

} // namespace

/// Prints the latencies of the policies that choose a target, on virtual time.
int main()
{
    constexpr std::array policies{"least_expected_latency", "two_choices", "least_running",
                                  "round_robin"};
    for (std::uint64_t seed = 1; seed != 4; ++seed)
        for (auto const* const policy : policies)
            choice_run(seed, policy).run(seed, policy);
    return 0;
}
