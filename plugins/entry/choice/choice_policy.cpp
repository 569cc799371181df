#include "choice_policy.hpp"

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

/// Stands in for a latency while no target has been measured.
constexpr milliseconds first_guess{10};

/// Returns the mean of the measured latencies.
microseconds typical_latency(candidates const& among)
{
    microseconds sum{0};
    std::int64_t n = 0;
    for (auto const* const it : among)
    {
        if (!it->latency)
            continue;
        sum += *it->latency;
        ++n;
    }
    return n == 0 ? microseconds(first_guess) : sum / n;
}

/// Looks at all candidates; equal ones are taken in turn by chance.
class least_expected_latency final : public choice_policy
{
public:
    target_view const& pick(candidates const& among, random_source& random) override
    {
        auto const unmeasured = typical_latency(among);
        auto const first = random() % among.size();
        auto const* best = among[first];
        double least = expected_latency(*best, unmeasured);
        for (std::size_t n = 1; n != among.size(); ++n)
        {
            auto const* const it = among[(first + n) % among.size()];
            double const expected = expected_latency(*it, unmeasured);
            if (expected >= least)
                continue;
            least = expected;
            best = it;
        }
        return *best;
    }
};

/// Looks at two candidates drawn by chance (Mitzenmacher 2001).
class two_choices final : public choice_policy
{
public:
    target_view const& pick(candidates const& among, random_source& random) override
    {
        if (among.size() == 1)
            return *among.front();
        auto const a = random() % among.size();
        auto const b = (a + 1 + random() % (among.size() - 1)) % among.size();
        auto const unmeasured = typical_latency({among[a], among[b]});
        bool const first =
            expected_latency(*among[a], unmeasured) <= expected_latency(*among[b], unmeasured);
        return *among[first ? a : b];
    }
};

/// Takes the candidate that this instance has the fewest requests on.
class least_running final : public choice_policy
{
public:
    target_view const& pick(candidates const& among, random_source&) override
    {
        auto const fewer = [](target_view const* a, target_view const* b)
        { return a->running < b->running; };
        return **std::min_element(among.begin(), among.end(), fewer);
    }
};

/// Takes the candidates in turn; the baseline of the benchmarks.
class round_robin final : public choice_policy
{
public:
    target_view const& pick(candidates const& among, random_source&) override
    {
        return *among[next_++ % among.size()];
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

double expected_latency(target_view const& it, microseconds unmeasured)
{
    auto const part = static_cast<double>(std::max<std::int64_t>(it.limit.count(), 1));
    auto const running = static_cast<double>(it.running.count());
    if (it.latency)
        return static_cast<double>(it.latency->count()) * (1 + running / part);
    double reported = 0;
    if (it.reported && it.reported->total.count() > 0)
        reported = static_cast<double>(it.reported->busy.count()) /
                   static_cast<double>(it.reported->total.count());
    return static_cast<double>(unmeasured.count()) *
           (1 + std::max(running / part, std::clamp(reported, 0.0, 1.0)));
}

} // namespace mulberryrudder::entry
