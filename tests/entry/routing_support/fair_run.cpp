#include "fair_run.hpp"

#include "plugins/entry/fair_queue/fair_queue_stage.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::size_t customers = 8;
constexpr std::size_t large_customers = 3;
constexpr std::int64_t large_rate = 250;
constexpr std::int64_t small_rate = 70;

std::string name_of(std::size_t n)
{
    return "c" + std::to_string(n);
}

std::map<std::string, std::int64_t> rates()
{
    std::map<std::string, std::int64_t> out;
    for (std::size_t n = 0; n != customers; ++n)
        out[name_of(n)] = n < large_customers ? large_rate : small_rate;
    return out;
}

kernel::settings settings_for(std::string const& order)
{
    auto out = kernel::settings::defaults();
    fair_queue_settings queue;
    queue.order = order;
    queue.most_waiting = 100'000;
    out.set(fair_queue_section, queue);
    return out;
}

/// Runs the customers' requests and gathers their latencies.
class fair_runner
{
public:
    explicit fair_runner(fair_options const& with)
        : with_(with), fleet_({.seed = with.seed,
                               .config = config_with(rates()),
                               .settings = settings_for(with.order)})
    {
        fleet_.add_entry(instance_at(1, "marmara", "m1"));
        for (int n = 0; n != 4; ++n)
            fleet_.add_target(target_at("t" + std::to_string(n), "m1", 8),
                              [](send_attempt const& it)
                              { return microseconds(std::stoll(it.content->path)); });
        begin_ = fleet_.now() + seconds(6);
    }

    fair_result run()
    {
        for (std::size_t n = 0; n != customers; ++n)
            plan(n);
        fleet_.run_until(begin_ + with_.length + seconds(3));
        for (std::size_t n = 1; n != customers; ++n)
            out_.worst_p99 = std::max(out_.worst_p99, p99(latencies_[n]));
        return out_;
    }

private:
    /// Plans the arrivals of one customer; the first is the one that surges.
    void plan(std::size_t n)
    {
        std::mt19937_64 random(with_.seed * 1000 + n);
        auto const rate = static_cast<double>(rates().at(name_of(n)) * (n == 0 ? with_.surge : 1));
        std::exponential_distribution<double> gap(rate / 1e6);
        std::lognormal_distribution<double> service(std::log(17000), 0.6);
        for (double t = gap(random); t < 1e6 * static_cast<double>(with_.length.count());
             t += gap(random))
        {
            auto const path = std::to_string(static_cast<std::int64_t>(service(random)));
            fleet_.at(begin_ + microseconds(static_cast<std::int64_t>(t)),
                      [this, n, path] { ask(n, path); });
        }
    }

    void ask(std::size_t n, std::string const& path)
    {
        auto const asked = fleet_.now();
        out_.asked += n == 0 ? 0 : 1;
        auto const done = [this, n, asked](outcome const& how)
        {
            if (std::holds_alternative<answered>(how))
                latencies_[n].push_back(fleet_.now() - asked);
            else
                out_.refused += n == 0 ? 0 : 1;
        };
        fleet_.ask(instance_id(1), seconds(2), name_of(n), call_method::post, done, path);
    }

    static span p99(std::vector<span>& of)
    {
        if (of.empty())
            return span::max();
        auto const at = of.begin() + static_cast<std::ptrdiff_t>(of.size() * 99 / 100);
        std::nth_element(of.begin(), at, of.end());
        return *at;
    }

    fair_options with_;
    fleet fleet_;
    instant begin_;
    std::map<std::size_t, std::vector<span>> latencies_;
    fair_result out_;
};

} // namespace

fair_result run_fair(fair_options const& with)
{
    return fair_runner(with).run();
}

} // namespace mulberryrudder::entry
