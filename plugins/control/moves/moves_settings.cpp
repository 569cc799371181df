#include "moves_settings.hpp"

namespace mulberryrudder::control
{

kernel::section<moves_settings> const moves_section{
    "moves",
    {
        kernel::field(
            "first_share", &moves_settings::first_share, {1, 1000},
            "Share of a route's requests, in thousandths, that a move's first step sends to "
            "the new version; each further step at most doubles the share, up to the cap."),
        kernel::field(
            "least_dwell", &moves_settings::min_dwell, {100, 3'600'000},
            "Minimum milliseconds between two steps of a move, also when the move is late."),
        kernel::field(
            "most_dwell", &moves_settings::max_dwell, {100, 86'400'000},
            "Maximum milliseconds that pacing puts between two steps; a deadline far ahead "
            "does not slow the steps further."),
        kernel::field("stale_after", &moves_settings::stale_after, {500, 600'000},
                      "Milliseconds without a measurement of the new version after which a "
                      "move is held."),
        kernel::field("warm_up", &moves_settings::warm_up, {0, 600'000},
                      "Milliseconds after a step in which the new version's latency is not "
                      "compared, since for the added requests its caches are "
                      "cold."),
        kernel::field(
            "watch", &moves_settings::watch_time, {0, 86'400'000},
            "Milliseconds for which a move whose share is at the cap is watched for late "
            "faults before it is done; a move with a cap below 1000 is watched less if its "
            "deadline is near."),
        kernel::field(
            "least_outcomes", &moves_settings::min_outcomes, {1, 1'000'000},
            "Minimum outcomes of the new version since the last step before the next one; "
            "after twice the dwell, one outcome is enough."),
        kernel::field(
            "false_alarm_outcomes", &moves_settings::false_alarm_outcomes, {100, 1'000'000'000},
            "Lower bound of the mean number of outcomes until a new version that is as good "
            "as the old one is rolled back by mistake."),
    }};

} // namespace mulberryrudder::control
