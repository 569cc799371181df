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
    milliseconds expire_after{10000};
    milliseconds ramp{10000};
    milliseconds shed_pause{100};
    milliseconds probe_interval{500};
    milliseconds probe_timeout{1000};
    milliseconds relay_interval{200};
    std::int64_t failures_to_suspect = 3;
};

extern kernel::section<target_settings> const target_section;

/// State of one target in the registry.
struct target_record
{
    announcement announced; ///< The latest one.
    target_life life;
    observed_load observed;
    target_view view;
    instant silence_deadline; ///< Time without an announcement at which the target gets suspected.
    instant expires_at;       ///< Time without an announcement at which the target is removed.
    instant ramp_ends_at;     ///< End of the ramp after a cold start.
    bool failing = false;     ///< It is suspected because of failures, not of missed announcements.
    instant next_probe = never;
    int probes_failed = 0;
};

/// Returns the limit of slots during the ramp of a target: it grows linearly from 1 to all of
/// `share`, which is reached at `ramp_ends_at`. `ramp` is the length of the ramp.
slots ramped_slots(slots share, instant now, instant ramp_ends_at, span ramp);

/// Returns the time of the next probe of a suspected target. The interval doubles with each
/// failed probe, up to 16 times `interval`, since probes use the target's capacity.
instant next_probe_time(int probes_failed, instant now, span interval);

/// Returns a hash of the target's id that distributes the remainders of integer divisions
/// over the instances; see lease_shares.
std::uint64_t remainder_salt(target_id const& id);

} // namespace mulberryrudder::entry

#endif
