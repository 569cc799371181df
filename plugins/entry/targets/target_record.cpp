#include "target_record.hpp"

#include <mulberryrudder/core/stable_hash.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

constexpr kernel::limits milliseconds_limits{1, 600'000};

} // namespace

kernel::section<target_settings> const target_section{
    "targets",
    {
        kernel::field(
            "silence_timeout", &target_settings::silence_timeout, milliseconds_limits,
            "Milliseconds without an announcement after which a target gets no new requests."),
        kernel::field("forget_after", &target_settings::expire_after, milliseconds_limits,
                      "Milliseconds without an announcement after which a target is removed."),
        kernel::field(
            "ramp", &target_settings::ramp, {0, 600'000},
            "Milliseconds over which the slots used of a new target grow to its capacity."),
        kernel::field("shed_pause", &target_settings::shed_pause, milliseconds_limits,
                      "Milliseconds without new requests for a target that shed one."),
        kernel::field(
            "probe_interval", &target_settings::probe_interval, milliseconds_limits,
            "Milliseconds to the first probe of a failing target; the interval doubles with each "
            "failed probe, up to 16 times this value."),
        kernel::field("probe_timeout", &target_settings::probe_timeout, milliseconds_limits,
                      "Milliseconds within which a target must answer a probe."),
        kernel::field("relay_interval", &target_settings::relay_interval, milliseconds_limits,
                      "Milliseconds for which announcements are batched before they are relayed."),
        kernel::field("failures_to_suspect", &target_settings::failures_to_suspect, {1, 100},
                      "Consecutive failed attempts after which a target gets no new requests."),
    }};

slots ramped_slots(slots share, instant now, instant ramp_ends_at, span ramp)
{
    if (now >= ramp_ends_at || share.count() <= 1)
        return share;
    auto const elapsed = std::max(span(0), ramp - (ramp_ends_at - now));
    auto const grown = share.count() * elapsed.count() / ramp.count();
    return slots(std::max<std::int64_t>(1, grown));
}

instant next_probe_time(int probes_failed, instant now, span interval)
{
    return now + interval * (1 << std::min(probes_failed, 4));
}

std::uint64_t remainder_salt(target_id const& id)
{
    stable_hash hash;
    for (char const c : id.value())
        hash.add_byte(static_cast<unsigned char>(c));
    return hash.value() >> 32U;
}

} // namespace mulberryrudder::entry
