#include "target_loads.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

/// Time in which what was reported of other instances' requests halves. A target that
/// is full replies seldom, and must not look idle meanwhile.
constexpr milliseconds report_half_life{3000};
/// How long a report says enough of the load that other instances make.
constexpr milliseconds fresh_for{1500};
/// First time for which a target is avoided after a failure; it doubles with each.
constexpr milliseconds first_avoidance{300};
/// Failures after which the time does not double any more.
constexpr int most_doublings = 5;
/// Weight of a new reply in the average of bad ones: about the last ten replies count.
constexpr double newest_part = 0.1;
/// A target whose average is above this is avoided for a while.
constexpr double most_bad = 0.3;
/// Replies before the average says anything.
constexpr int least_replies = 8;
/// How long a target with many bad replies, or none, is doubted.
constexpr seconds doubt{4};
/// A target that sheds below this part of its slots does not shed for lack of room.
constexpr double room_part = 0.8;

/// Attempts that ran out of time, with no reply to any other since they were sent,
/// before the target counts as lost. A slow request says less than a lost connection.
constexpr int most_silences = 3;

bool is_connection_lost(attempt_failure cause)
{
    return cause == attempt_failure::connect_refused || cause == attempt_failure::connect_timeout ||
           cause == attempt_failure::closed;
}

bool ran_out_of_time(attempt_failure cause)
{
    return cause == attempt_failure::timeout || cause == attempt_failure::cancelled;
}

} // namespace

void target_loads::started(target_id const& id)
{
    ++rows_[id].own;
}

void target_loads::ended(target_id const& id, attempt_end const& how, bool judged, slots capacity,
                         instant started, instant now)
{
    auto& it = rows_[id];
    bool const has_room =
        busy(id, now) <
        room_part * static_cast<double>(std::max<std::int64_t>(capacity.count(), 1));
    it.own = std::max<std::int64_t>(it.own - 1, 0);
    if (how.load)
    {
        it.others = std::max<std::int64_t>(how.load->busy.count() - it.own, 0);
        it.reported = now;
    }
    if (!judged)
        return;
    bool const answers = it.replied >= started; // Other requests, while this one ran.
    if (how.failed == attempt_failure::misdirected)
        it.misdirected = now;
    else if (how.failed && is_connection_lost(*how.failed) && !answers)
        note_failure(it, now);
    else if (how.failed && ran_out_of_time(*how.failed))
        note_silence(it, answers, now);
    else if (how.failed == attempt_failure::shed)
        note_quality(it, has_room, now);
    else if (how.failed)
        note_quality(it, true, now);
    else
    {
        it.failures = 0;
        it.silences = 0;
        it.replied = now;
        if (how.content->status != out_of_time_status)
            note_quality(it, how.content->status >= 500, now);
    }
}

void target_loads::note_silence(row& it, bool answers, instant now)
{
    if (answers || ++it.silences < most_silences)
        return;
    it.silences = 0;
    it.doubted_until = std::max(it.doubted_until, now + doubt);
}

void target_loads::note_failure(row& it, instant now)
{
    auto const doublings = std::min(it.failures++, most_doublings);
    it.lost_until = std::max(it.lost_until, now + first_avoidance * (1 << doublings));
}

void target_loads::note_quality(row& it, bool bad, instant now)
{
    it.bad = it.bad * (1 - newest_part) + (bad ? newest_part : 0);
    ++it.replies;
    if (it.replies < least_replies || it.bad <= most_bad)
        return;
    it.doubted_until = std::max(it.doubted_until, now + doubt);
    it.replies = 0;
    it.bad = 0;
}

double target_loads::busy(target_id const& id, instant now) const
{
    auto const at = rows_.find(id);
    if (at == rows_.end())
        return 0;
    auto const& it = at->second;
    auto const own = static_cast<double>(it.own);
    auto const half_lives = static_cast<double>((now - it.reported).count()) /
                            static_cast<double>(span(report_half_life).count());
    auto const told = static_cast<double>(it.others) * std::exp2(-half_lives);
    bool const fresh = it.reported + fresh_for > now;
    return own + (fresh ? told : std::max(told, own * (senders_ - 1)));
}

bool target_loads::is_lost(target_id const& id, instant learned, instant now) const
{
    auto const it = rows_.find(id);
    if (it == rows_.end())
        return false;
    return now < it->second.lost_until ||
           (it->second.misdirected != instant{} && learned <= it->second.misdirected);
}

bool target_loads::is_doubted(target_id const& id, instant now) const
{
    auto const it = rows_.find(id);
    return it != rows_.end() && now < it->second.doubted_until;
}

} // namespace mulberryrudder::entry
