#include "moves_settings.hpp"

namespace mulberryrudder::control
{

kernel::section<moves_settings> const moves_section{
    "moves",
    {
        kernel::field("first_share", &moves_settings::first_share, {1, 1000},
                      "Thousandths of a route's requests in a move's first step; each step then "
                      "doubles the share at most, up to the cap."),
        kernel::field("least_dwell", &moves_settings::least_dwell, {100, 3'600'000},
                      "Milliseconds that a share is kept at least."),
        kernel::field("most_dwell", &moves_settings::most_dwell, {100, 86'400'000},
                      "Milliseconds that a share is kept for pacing at most."),
        kernel::field("stale_after", &moves_settings::stale_after, {500, 600'000},
                      "Milliseconds without a measurement of the new version after which the "
                      "move is held."),
        kernel::field("warm_up", &moves_settings::warm_up, {0, 600'000},
                      "Milliseconds after a step in which latency is not judged: caches are "
                      "cold."),
        kernel::field("watch", &moves_settings::watch, {0, 86'400'000},
                      "Milliseconds for which a completed move is watched for late faults."),
        kernel::field("least_outcomes", &moves_settings::least_outcomes, {1, 1'000'000},
                      "Outcomes of the new version that a step up needs since the last one."),
        kernel::field("false_alarm_outcomes", &moves_settings::false_alarm_outcomes,
                      {100, 1'000'000'000},
                      "Outcomes of a version as good as the old one up to a false withdrawal, in "
                      "the mean and at least."),
    }};

} // namespace mulberryrudder::control
