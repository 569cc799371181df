#include "roster_settings.hpp"

namespace mulberryrudder::entry
{

kernel::section<roster_settings> const roster_section{
    "entry_roster",
    {
        kernel::field(
            "answer_limit", &roster_settings::answer_timeout, {50, 60'000},
            "Milliseconds without an answer after which the next report goes to another control "
            "instance; must exceed the time for which control delays an answer."),
        kernel::field("first_answer_limit", &roster_settings::first_answer_timeout, {10, 60'000},
                      "The same for the first report to a control instance, which it answers "
                      "without delay; doubles with each report that is not answered."),
        kernel::field(
            "least_pause", &roster_settings::min_report_interval, {1, 10'000},
            "Minimum number of milliseconds between two reports; a series of changes is answered "
            "together."),
        kernel::field("max_plan_age", &roster_settings::max_plan_age, {100, 600'000},
                      "Milliseconds since its plan was the newest after which this instance "
                      "refuses requests, if control is heard with a delay, or has restarted and "
                      "has confirmed nothing since; below the time within which an acknowledged "
                      "plan must be in force."),
        kernel::field(
            "first_plan_limit", &roster_settings::first_plan_timeout, {0, 600'000},
            "Milliseconds after which an instance that has just started accepts callers with a "
            "first plan that is not confirmed, counted from the last word of a control instance "
            "that hears most others, all of which have restarted."),
        kernel::field("max_round_trip", &roster_settings::max_round_trip, {10, 60'000},
                      "Milliseconds that a report and its answer may be on their way; beyond it "
                      "control counts as heard with a delay."),
    }};

} // namespace mulberryrudder::entry
