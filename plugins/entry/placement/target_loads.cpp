#include "target_loads.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

/// Half-life of the reported load of other instances. A full target replies seldom and must
/// not look idle meanwhile.
constexpr milliseconds report_half_life{3000};
/// Time for which a report alone determines the load of other instances.
constexpr milliseconds report_validity{1500};
/// Time for which a target counts as unreachable after its first connection failure; it
/// doubles with each further one.
constexpr milliseconds initial_backoff{300};
/// Limit of the doublings of that time.
constexpr int max_doublings = 5;
/// Weight of the newest reply in the failure rate, which thus covers about ten replies.
constexpr double newest_weight = 0.1;
/// Failure rate above which a target is ejected.
constexpr double max_failure_rate = 0.3;
/// Replies required before the failure rate is evaluated.
constexpr int min_replies = 8;
/// Time for which a target is ejected.
constexpr seconds ejection_time{4};
/// Utilization below which shedding counts as a failure, since the target has free slots.
constexpr double spare_capacity_ratio = 0.8;

/// Timeouts, without any reply since the attempt was sent, after which the target is
/// ejected. A slow request is a weaker signal than a failed connection.
constexpr int max_timeouts = 3;

bool is_connection_failure(attempt_failure cause)
{
    return cause == attempt_failure::connect_refused || cause == attempt_failure::connect_timeout ||
           cause == attempt_failure::closed;
}

bool is_timeout(attempt_failure cause)
{
    return cause == attempt_failure::timeout || cause == attempt_failure::cancelled;
}

} // namespace

void target_loads::started(target_id const& id)
{
    ++targets_[id].own;
}

void target_loads::ended(target_id const& id, attempt_end const& result, bool counts_for_health,
                         slots capacity, instant started, instant now)
{
    auto& target = targets_[id];
    bool const below_capacity =
        busy(id, now) <
        spare_capacity_ratio * static_cast<double>(std::max<std::int64_t>(capacity.count(), 1));
    target.own = std::max<std::int64_t>(target.own - 1, 0);
    if (result.load)
    {
        target.reported_busy = std::max<std::int64_t>(result.load->busy.count() - target.own, 0);
        target.reported = now;
    }
    if (!counts_for_health)
        return;
    // True if the target replied to another request while this one ran.
    bool const replied_since_start = target.replied >= started;
    if (result.failed == attempt_failure::misdirected)
        target.misdirected = now;
    else if (result.failed && is_connection_failure(*result.failed) && !replied_since_start)
        record_connection_failure(target, now);
    else if (result.failed && is_timeout(*result.failed))
        record_timeout(target, replied_since_start, now);
    else if (result.failed == attempt_failure::shed)
        record_outcome(target, below_capacity, now);
    else if (result.failed)
        record_outcome(target, true, now);
    else
    {
        target.failures = 0;
        target.timeouts = 0;
        target.replied = now;
        if (result.content->status != out_of_time_status)
            record_outcome(target, result.content->status >= 500, now);
    }
}

void target_loads::record_timeout(load_state& target, bool replied_since_start, instant now)
{
    if (replied_since_start || ++target.timeouts < max_timeouts)
        return;
    target.timeouts = 0;
    target.ejected_until = std::max(target.ejected_until, now + ejection_time);
}

void target_loads::record_connection_failure(load_state& target, instant now)
{
    auto const doublings = std::min(target.failures++, max_doublings);
    target.unreachable_until =
        std::max(target.unreachable_until, now + initial_backoff * (1 << doublings));
}

void target_loads::record_outcome(load_state& target, bool failed, instant now)
{
    target.failure_rate = target.failure_rate * (1 - newest_weight) + (failed ? newest_weight : 0);
    ++target.replies;
    if (target.replies < min_replies || target.failure_rate <= max_failure_rate)
        return;
    target.ejected_until = std::max(target.ejected_until, now + ejection_time);
    target.replies = 0;
    target.failure_rate = 0;
}

double target_loads::busy(target_id const& id, instant now) const
{
    auto const found = targets_.find(id);
    if (found == targets_.end())
        return 0;
    auto const& target = found->second;
    auto const own = static_cast<double>(target.own);
    auto const half_lives = static_cast<double>((now - target.reported).count()) /
                            static_cast<double>(span(report_half_life).count());
    auto const decayed = static_cast<double>(target.reported_busy) * std::exp2(-half_lives);
    bool const fresh = target.reported + report_validity > now;
    return own + (fresh ? decayed : std::max(decayed, own * (instance_count_ - 1)));
}

bool target_loads::is_unreachable(target_id const& id, instant notice_received, instant now) const
{
    auto const it = targets_.find(id);
    if (it == targets_.end())
        return false;
    return now < it->second.unreachable_until ||
           (it->second.misdirected != instant{} && notice_received <= it->second.misdirected);
}

bool target_loads::is_ejected(target_id const& id, instant now) const
{
    auto const it = targets_.find(id);
    return it != targets_.end() && now < it->second.ejected_until;
}

} // namespace mulberryrudder::entry
