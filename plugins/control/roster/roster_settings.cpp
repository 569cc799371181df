#include "roster_settings.hpp"

namespace mulberryrudder::control
{

namespace
{

constexpr kernel::limits time_limits{10, 600'000};

} // namespace

kernel::section<roster_settings> const roster_section{
    "roster",
    {
        kernel::field("exchange_period", &roster_settings::exchange_interval, time_limits,
                      "Milliseconds between two messages to each other control instance."),
        kernel::field(
            "poll_hold", &roster_settings::poll_timeout, time_limits,
            "Milliseconds after which an entry's poll is answered even without an update."),
        kernel::field(
            "entry_silence", &roster_settings::entry_timeout, time_limits,
            "Milliseconds without a report after which an entry is left out of look-ups."),
        kernel::field(
            "target_silence", &roster_settings::target_timeout, time_limits,
            "Milliseconds without an announcement after which a target counts as gone; four "
            "announcement intervals of targets."),
        kernel::field(
            "leave_limit", &roster_settings::leave_timeout, time_limits,
            "Milliseconds within which a majority must hold that a target leaves; after that "
            "the answer sends the target to another instance. Below a target's own timeout."),
        kernel::field("answer_lifetime", &roster_settings::answer_lifetime, time_limits,
                      "Milliseconds for which callers may use the answer to a look-up."),
        kernel::field("look_up_entries", &roster_settings::max_look_up_entries, {1, 100'000},
                      "Limit of the entries in the answer to a look-up; of more, some are drawn "
                      "for each answer."),
        kernel::field(
            "confirmation_lifetime", &roster_settings::confirmation_lifetime, time_limits,
            "Milliseconds after which an entry searches for another control instance if the "
            "steering state of its own was not confirmed again; several exchange intervals and "
            "round trips between regions."),
    }};

} // namespace mulberryrudder::control
