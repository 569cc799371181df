#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_RECORD_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_RECORD_HPP

#include "observed_load.hpp"
#include "target_life.hpp"

#include <mulberryrudder/kernel/settings.hpp>

#include <cstdint>

namespace mulberryrudder::entry
{

/// The `targets` section of the settings.
struct target_settings
{
    milliseconds silence_timeout{1500};
    milliseconds forget_after{10000};
    milliseconds ramp{10000};
    milliseconds shed_pause{100};
    milliseconds probe_interval{500};
    milliseconds probe_timeout{1000};
    milliseconds relay_interval{200};
    std::int64_t failures_to_suspect = 3;
};

extern kernel::section<target_settings> const target_section;

/// What the registry holds of one target.
struct target_record
{
    announcement said;
    target_life life;
    observed_load seen;
    target_view view;
    instant silent_at;    ///< When the announcements count as missed.
    instant forgotten_at; ///< When nothing is expected of it any more.
    instant warm_at;      ///< End of the ramp after a cold start.
    bool failing = false; ///< Its own failures, not silence, made it suspected.
    instant next_probe = never;
    int probes_failed = 0;
};

/// Returns the most slots that a warming target may get of a part: all of it from
/// `warm_at` on, and one at least.
slots ramped(slots part, instant now, instant warm_at, span ramp);

/// Returns when a suspected target is probed again: the interval doubles with each
/// failed probe up to 16 times, since a probe costs the target time.
instant next_probe_after(int probes_failed, instant now, span interval);

/// Returns a number that spreads the remainders of different targets.
std::uint64_t salt_of(target_id const& id);

} // namespace mulberryrudder::entry

#endif
