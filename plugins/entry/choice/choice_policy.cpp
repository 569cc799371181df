#include "choice_policy.hpp"

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

/// Assumed latency while no target has replied.
constexpr milliseconds initial_latency{10};

/// Returns the mean latency of the targets that replied.
microseconds mean_latency(candidates const& targets)
{
    microseconds sum{0};
    std::int64_t n = 0;
    for (auto const* const it : targets)
    {
        if (!it->latency)
            continue;
        sum += *it->latency;
        ++n;
    }
    return n == 0 ? microseconds(initial_latency) : sum / n;
}

/// Selects the target with the least expected latency; ties are broken at random.
class least_expected_latency final : public choice_policy
{
public:
    target_view const& pick(candidates const& targets, random_source& random) override
    {
        auto const default_latency = mean_latency(targets);
        auto const first = random() % targets.size();
        auto const* best = targets[first];
        double lowest = expected_latency(*best, default_latency);
        for (std::size_t n = 1; n != targets.size(); ++n)
        {
            auto const* const it = targets[(first + n) % targets.size()];
            double const expected = expected_latency(*it, default_latency);
            if (expected >= lowest)
                continue;
            lowest = expected;
            best = it;
        }
        return *best;
    }
};

/// Selects the better of two targets drawn at random (Mitzenmacher 2001).
class two_choices final : public choice_policy
{
public:
    target_view const& pick(candidates const& targets, random_source& random) override
    {
        if (targets.size() == 1)
            return *targets.front();
        auto const a = random() % targets.size();
        auto const b = (a + 1 + random() % (targets.size() - 1)) % targets.size();
        auto const default_latency = mean_latency({targets[a], targets[b]});
        bool const first = expected_latency(*targets[a], default_latency) <=
                           expected_latency(*targets[b], default_latency);
        return *targets[first ? a : b];
    }
};

/// Selects the target on which this instance runs the fewest requests.
class least_running final : public choice_policy
{
public:
    target_view const& pick(candidates const& targets, random_source&) override
    {
        auto const runs_fewer = [](target_view const* a, target_view const* b)
        { return a->running < b->running; };
        return **std::min_element(targets.begin(), targets.end(), runs_fewer);
    }
};

/// Selects the targets in turn; the baseline of the benchmarks.
class round_robin final : public choice_policy
{
public:
    target_view const& pick(candidates const& targets, random_source&) override
    {
        return *targets[next_++ % targets.size()];
    }

private:
    std::size_t next_ = 0;
};

template <class Policy>
std::unique_ptr<choice_policy> make()
{
    return std::make_unique<Policy>();
}

struct named_policy
{
    std::string_view name;
    std::unique_ptr<choice_policy> (*make)();
};

constexpr std::array policies{
    named_policy{"least_expected_latency", &make<least_expected_latency>},
    named_policy{"two_choices", &make<two_choices>},
    named_policy{"least_running", &make<least_running>},
    named_policy{"round_robin", &make<round_robin>},
};

} // namespace

std::unique_ptr<choice_policy> make_choice_policy(std::string_view name)
{
    for (auto const& it : policies)
        if (it.name == name)
            return it.make();
    return nullptr;
}

double expected_latency(target_view const& target, microseconds default_latency)
{
    auto const share = static_cast<double>(std::max<std::int64_t>(target.limit.count(), 1));
    auto const running = static_cast<double>(target.running.count());
    if (target.latency)
        return static_cast<double>(target.latency->count()) * (1 + running / share);
    double reported = 0;
    if (target.reported && target.reported->total.count() > 0)
        reported = static_cast<double>(target.reported->busy.count()) /
                   static_cast<double>(target.reported->total.count());
    return static_cast<double>(default_latency.count()) *
           (1 + std::max(running / share, std::clamp(reported, 0.0, 1.0)));
}

} // namespace mulberryrudder::entry
