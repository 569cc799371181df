#include "target_record.hpp"

#include <mulberryrudder/core/stable_hash.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

constexpr kernel::limits milliseconds_within{1, 600'000};

} // namespace

kernel::section<target_settings> const target_section{
    "targets",
    {
        kernel::field(
            "silence_timeout", &target_settings::silence_timeout, milliseconds_within,
            "Milliseconds without an announcement after which a target gets no new work."),
        kernel::field("forget_after", &target_settings::forget_after, milliseconds_within,
                      "Milliseconds without an announcement after which a target is forgotten."),
        kernel::field("ramp", &target_settings::ramp, {0, 600'000},
                      "Milliseconds over which a new target's slots grow to its capacity."),
        kernel::field("shed_pause", &target_settings::shed_pause, milliseconds_within,
                      "Milliseconds without new work for a target that shed a request."),
        kernel::field(
            "probe_interval", &target_settings::probe_interval, milliseconds_within,
            "Milliseconds to the first probe of a failing target; doubles up to 16 times."),
        kernel::field("probe_timeout", &target_settings::probe_timeout, milliseconds_within,
                      "Milliseconds within which a target has to answer a probe."),
        kernel::field(
            "relay_interval", &target_settings::relay_interval, milliseconds_within,
            "Milliseconds for which announcements are gathered before they are passed on."),
        kernel::field("failures_to_suspect", &target_settings::failures_to_suspect, {1, 100},
                      "Failed attempts in a row after which a target gets no new work."),
    }};

slots ramped(slots part, instant now, instant warm_at, span ramp)
{
    if (now >= warm_at || part.count() <= 1)
        return part;
    auto const elapsed = std::max(span(0), ramp - (warm_at - now));
    auto const grown = part.count() * elapsed.count() / ramp.count();
    return slots(std::max<std::int64_t>(1, grown));
}

instant next_probe_after(int probes_failed, instant now, span interval)
{
    return now + interval * (1 << std::min(probes_failed, 4));
}

std::uint64_t salt_of(target_id const& id)
{
    stable_hash out;
    for (char const it : id.value())
        out.add_byte(static_cast<unsigned char>(it));
    return out.value() >> 32U;
}

} // namespace mulberryrudder::entry
