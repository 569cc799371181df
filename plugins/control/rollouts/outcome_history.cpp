#include "outcome_history.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Distance up to which outcomes are of about the same time: a fault of the environment does
/// not begin and end at all targets at once.
constexpr span proximity = milliseconds(600);
/// Minimum number of the old version's answers by which a time is assessed; where requests are
/// rare, outcomes from farther away are used.
constexpr std::uint64_t min_old_answers = 20;
constexpr span history_length = seconds(60);

/// Returns what was added between two totals. A total can fall, if an entry counts anew.
outcome_counts difference(outcome_counts const& later, outcome_counts const& earlier)
{
    auto const added = [&](std::uint64_t outcome_counts::*kind)
    { return later.*kind - std::min(later.*kind, earlier.*kind); };
    return {.answered = added(&outcome_counts::answered),
            .failed = added(&outcome_counts::failed),
            .broken = added(&outcome_counts::broken),
            .late = added(&outcome_counts::late)};
}

void add(outcome_counts& sum, outcome_counts const& counts)
{
    sum.answered += counts.answered;
    sum.failed += counts.failed;
    sum.broken += counts.broken;
    sum.late += counts.late;
}

} // namespace

void outcome_history::append(instant now, compared_counts const& totals)
{
    if (samples_.empty())
        samples_.push_back({.time = now, .totals = {}});
    samples_.push_back({.time = now, .totals = totals});
    while (samples_.front().time + history_length < now)
        samples_.pop_front();
}

outcome_counts outcome_history::old_outcomes_near(std::size_t index) const
{
    auto const old_totals = [this](std::size_t n) -> outcome_counts const&
    { return samples_[n].totals.old_version; };
    auto first = index;
    auto last = index + 1;
    auto const is_near = [&](std::size_t before, std::size_t after)
    { return samples_[after].time - samples_[before].time <= proximity; };
    for (;;)
    {
        auto const counts = difference(old_totals(last), old_totals(first));
        bool const is_sparse = counts.answered < min_old_answers;
        bool const takes_earlier = first != 0 && (is_sparse || is_near(first - 1, index));
        bool const takes_later =
            last + 1 != samples_.size() && (is_sparse || is_near(index + 1, last + 1));
        if (!takes_earlier && !takes_later)
            return counts;
        first -= takes_earlier ? 1 : 0;
        last += takes_later ? 1 : 0;
    }
}

compared_counts outcome_history::undisturbed(std::uint64_t outcome_counts::*kind,
                                             per_mille max_part) const
{
    compared_counts out;
    for (std::size_t n = 0; n + 1 < samples_.size(); ++n)
    {
        auto const near = old_outcomes_near(n);
        if (near.answered < min_old_answers || near.per_mille_of(near.*kind) > max_part.count())
            continue;
        auto const& earlier = samples_[n].totals;
        auto const& later = samples_[n + 1].totals;
        add(out.new_version, difference(later.new_version, earlier.new_version));
        add(out.old_version, difference(later.old_version, earlier.old_version));
    }
    return out;
}

} // namespace mulberryrudder::control
