#include "rollout_comparison.hpp"

#include "outcome_history.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace mulberryrudder::control
{

namespace
{

/// A kind of bad outcome, and the limit of a new version's excess in it.
struct criterion
{
    std::uint64_t outcome_counts::*count;
    per_mille comparison_limits::*max_excess;
    bool is_bad; ///< Part of outcome_counts::bad().
};

constexpr std::array criteria{
    criterion{&outcome_counts::failed, &comparison_limits::max_failed_excess, true},
    criterion{&outcome_counts::broken, &comparison_limits::max_broken_excess, true},
    criterion{&outcome_counts::late, &comparison_limits::max_late_excess, false}};

/// Standard errors by which an excess must surpass its limit, so that it is not chance.
constexpr double significance = 3;
/// Minimum number of bad outcomes of a suspected version, as a fraction of those of a version
/// that is rolled back.
constexpr std::int64_t suspicion_divisor = 3;
/// Part of the old version's answers that suffices where requests are rare.
constexpr std::int64_t rare_requests_divisor = 10;

double fraction(std::uint64_t count, std::uint64_t answered)
{
    return answered == 0 ? 0 : static_cast<double>(count) / static_cast<double>(answered);
}

/// Returns whether the new version's excess in one kind of outcome surpasses its limit by
/// `standard_errors` at least. The old version's fraction p is the expected one, so the excess
/// is (q - p) / (1 - p) for a new fraction q (Abbott's formula).
bool exceeds(criterion const& kind, outcome_counts const& new_counts,
             outcome_counts const& old_counts, comparison_limits const& limits,
             double standard_errors)
{
    auto const expected = fraction(old_counts.*kind.count, old_counts.answered);
    auto const observed = fraction(new_counts.*kind.count, new_counts.answered);
    if (new_counts.answered == 0 || expected >= 1)
        return false;
    auto const error =
        std::sqrt(expected * (1 - expected) / static_cast<double>(new_counts.answered));
    auto const limit = static_cast<double>((limits.*kind.max_excess).count()) / 1000;
    return observed - expected - standard_errors * error > limit * (1 - expected);
}

/// Returns whether one kind of bad outcome is several times as frequent in the new version as
/// in the old one, beyond chance. Timeouts do not count: caches of a new version are cold.
bool clearly_exceeds_factor(criterion const& kind, outcome_counts const& new_counts,
                            outcome_counts const& old_counts, comparison_limits const& limits)
{
    if (!kind.is_bad || new_counts.answered == 0)
        return false;
    auto const expected = fraction(old_counts.*kind.count, old_counts.answered);
    auto const observed = fraction(new_counts.*kind.count, new_counts.answered);
    auto const error =
        std::sqrt(expected * (1 - expected) / static_cast<double>(new_counts.answered));
    return observed - significance * error > static_cast<double>(limits.min_bad_factor) * expected;
}

/// Returns whether the new version fails several times as often as the old one.
bool exceeds_factor(outcome_counts const& new_counts, outcome_counts const& old_counts,
                    comparison_limits const& limits)
{
    auto const new_rate = new_counts.per_mille_of(new_counts.bad());
    auto const old_rate = old_counts.per_mille_of(old_counts.bad());
    return new_rate >= limits.min_bad_factor * old_rate &&
           new_rate - old_rate > limits.max_failed_excess.count();
}

} // namespace

std::int64_t outcome_counts::per_mille_of(std::uint64_t count) const
{
    return answered == 0 ? 0 : static_cast<std::int64_t>(count * 1000 / answered);
}

rollout_comparison compare_versions(outcome_counts const& new_counts,
                                    outcome_counts const& old_counts,
                                    comparison_limits const& limits)
{
    auto const min_bad = limits.min_bad.count();
    auto const at_least = [](std::uint64_t n, std::int64_t bound)
    { return static_cast<std::int64_t>(n) >= bound; };
    if (at_least(new_counts.bad(), min_bad) && exceeds_factor(new_counts, old_counts, limits))
        return rollout_comparison::worse;
    auto result = rollout_comparison::not_worse;
    for (auto const& it : criteria)
    {
        auto const count = new_counts.*it.count;
        if (at_least(count, min_bad) && exceeds(it, new_counts, old_counts, limits, significance))
            return rollout_comparison::worse;
        if (at_least(count * suspicion_divisor, min_bad) &&
            exceeds(it, new_counts, old_counts, limits, 0))
            result = rollout_comparison::suspected;
    }
    return result;
}

bool is_worse_while_old_serves(outcome_history const& history, comparison_limits const& limits)
{
    auto const is_worse = [&](criterion const& it)
    {
        auto const max_part = limits.max_failed_excess;
        auto [new_counts, old_counts] = history.undisturbed(it.count, max_part);
        // The old version's failures were few where these outcomes were selected, so their
        // part is a bound that the environment may reach.
        old_counts.*it.count = std::max(
            old_counts.*it.count,
            (old_counts.answered * static_cast<std::uint64_t>(max_part.count()) + 999) / 1000);
        return static_cast<std::int64_t>(new_counts.*it.count) >= limits.min_bad.count() &&
               (exceeds(it, new_counts, old_counts, limits, significance) ||
                clearly_exceeds_factor(it, new_counts, old_counts, limits));
    };
    return std::any_of(criteria.begin(), criteria.end(), is_worse);
}

bool has_evidence(outcome_counts const& new_counts, outcome_counts const& old_counts,
                  comparison_limits const& limits)
{
    auto const required =
        std::min(limits.min_answers.count(),
                 static_cast<std::int64_t>(old_counts.answered) / rare_requests_divisor);
    return static_cast<std::int64_t>(new_counts.answered) >= required;
}

} // namespace mulberryrudder::control
