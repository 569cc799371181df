#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROLLOUTS_OUTCOME_HISTORY_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROLLOUTS_OUTCOME_HISTORY_HPP

#include "rollout_comparison.hpp"

#include <mulberryrudder/core/time.hpp>

#include <deque>

namespace mulberryrudder::control
{

/// Outcomes of both versions in a rollout.
struct compared_counts
{
    outcome_counts new_version;
    outcome_counts old_version;
};

/// The totals of a rollout's outcomes in the course of time, for about a minute.
///
/// Thread safety: one owner.
class outcome_history
{
public:
    /// Adds the totals that are known at a time.
    /// Precondition: the time is not before that of the last call.
    void append(instant now, compared_counts const& totals);

    /// Sums the outcomes of the times near which the old version had at most `max_part` bad
    /// outcomes of one kind. Outcomes beside a fault of the old version's targets are left out
    /// for both versions, before it and after it.
    compared_counts undisturbed(std::uint64_t outcome_counts::*kind, per_mille max_part) const;

private:
    struct sample
    {
        instant time;
        compared_counts totals;
    };

    /// Returns the old version's outcomes of about the time between a sample and the next one.
    outcome_counts old_outcomes_near(std::size_t index) const;

    std::deque<sample> samples_;
};

} // namespace mulberryrudder::control

#endif
