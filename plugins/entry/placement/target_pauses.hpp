#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_TARGET_PAUSES_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_TARGET_PAUSES_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/entry/plan_view.hpp>

#include <map>

namespace mulberryrudder::entry
{

/// Keeps the pauses that targets ask for when they turn requests away.
///
/// Handles overloaded targets that callers would keep busy with rejected requests: each caller
/// stays away until the target expects to have room.
///
/// Thread safety: one owner.
class target_pauses
{
public:
    /// Precondition: `max_pause` is positive. Longer pauses count as this long, so that a target
    /// that asks for an excessive one is not lost.
    explicit target_pauses(milliseconds max_pause) : max_pause_(max_pause) {}

    /// Records that a start of a target asked at `now` to get no requests for the time `pause`. A
    /// pause never ends earlier than one that the same start asked for before.
    void record(target_id const& id, start_id start, milliseconds pause, instant now);

    /// Returns when the pause of a target's start ends; a time that is not after `now` if it has
    /// none. A later start knows nothing of the pauses that earlier ones asked for.
    instant end_of(target_id const& id, start_id start, instant now) const;

    /// Removes pauses that have ended, and those of targets that are not listed if there are too
    /// many.
    void expire(std::map<target_id, listed_target> const& listed, instant now);

private:
    struct pause_state
    {
        start_id start;
        instant end;
    };

    milliseconds max_pause_;
    std::map<target_id, pause_state> pauses_;
};

} // namespace mulberryrudder::entry

#endif
