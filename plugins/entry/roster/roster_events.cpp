#include "roster_events.hpp"

namespace mulberryrudder::entry
{

kernel::event_kind const target_learned_event{{.number = 300,
                                               .name = "targets.learned",
                                               .level = kernel::severity::info,
                                               .meaning = "Control reported a change of a target.",
                                               .action = "None."}};
kernel::event_kind const steering_learned_event{
    {.number = 301,
     .name = "steering.learned",
     .level = kernel::severity::info,
     .meaning = "This instance applies a newer steering state, received from `control`; "
                "`confirmed` is whether that instance had confirmed it.",
     .action = "None."}};
kernel::event_kind const control_unanswered_event{
    {.number = 302,
     .name = "control.unanswered",
     .level = kernel::severity::warning,
     .meaning =
         "A control instance did not answer a report; the next one goes to another instance.",
     .action = "If it persists, check that instance and the network path to it."}};
kernel::event_kind const control_answered_event{
    {.number = 303,
     .name = "control.answered",
     .level = kernel::severity::info,
     .meaning = "A control instance answers that was not the current one; it receives the next "
                "reports.",
     .action = "None."}};

kernel::event_kind const control_disconnected_event{
    {.number = 304,
     .name = "control.apart",
     .level = kernel::severity::warning,
     .meaning =
         "A control instance is connected to too few others; the next report goes to another "
         "instance.",
     .action = "Check the connections between the control instances."}};

kernel::event_kind const late_answer_event{
    {.number = 305,
     .name = "control.answered_late",
     .level = kernel::severity::warning,
     .meaning = "A control instance answered a report after its timeout; the answer is applied. "
                "`targets` is the number of target notices in it.",
     .action = "If it persists, check the load of the network link to that instance."}};

kernel::event_kind const search_begun_event{
    {.number = 306,
     .name = "control.search_begun",
     .level = kernel::severity::warning,
     .meaning = "This instance asks all control instances which of them is current. The field "
                "`reason` is `unanswered`, `apart` or `unconfirmed`, `age_ms` the age of the last "
                "confirmation that its own one reported, -1 without one.",
     .action = "If it persists, check whether control has a leader, and the connections to it."}};

kernel::event_kind const search_ended_event{
    {.number = 307,
     .name = "control.search_ended",
     .level = kernel::severity::info,
     .meaning = "A control instance answered whose steering state is confirmed.",
     .action = "None."}};

kernel::event_kind const control_chosen_event{
    {.number = 308,
     .name = "control.chosen",
     .level = kernel::severity::info,
     .meaning = "The next report goes to a control instance that replied to a probe: its state "
                "is confirmed or newer than the one that this instance holds.",
     .action = "None."}};

kernel::histogram_kind const confirmation_age(
    "control.confirmation_age",
    "Age of the last confirmation of the steering state, as a control instance reported it.");
kernel::histogram_kind const
    notice_age("targets.news_age", "Age of the news that a target leaves, as control told it.");
kernel::counter_kind const reports_counter("roster.reports", "Reports sent to control.");

kernel::event_kind const plan_outdated_event{
    {.number = 309,
     .name = "plan.outdated",
     .level = kernel::severity::warning,
     .meaning = "This instance begins or ends to refuse requests since its plan is outdated: it "
                "was confirmed `age_ms` ago, and answers of control take long, or control "
                "instances have restarted and have confirmed nothing since. `outdated` is whether "
                "it begins.",
     .action = "Check the load of this instance's network link; see `control.round_trip`. Check "
               "whether control has a leader."}};

kernel::event_kind const plan_unconfirmed_event{
    {.number = 313,
     .name = "plan.unconfirmed",
     .level = kernel::severity::warning,
     .meaning = "This instance has just started and accepts callers with a plan that nobody has "
                "confirmed; a newer one may be in force. For entry_roster/first_plan_limit it "
                "heard no control instance that hears most others. `control` is the one that it "
                "reports to.",
     .action = "Check the connections to control instances and between them."}};

kernel::event_kind const plan_doubted_event{
    {.number = 314,
     .name = "plan.doubted",
     .level = kernel::severity::warning,
     .meaning = "This instance begins or ends to doubt that its plan is the newest one "
                "(`doubted`): `control` has restarted and awaits a leader, or has confirmed the "
                "plan since. Its answer says whether it hears most others (`connected`) and the "
                "age `confirmed_age_ms` of its last confirmation, -1 without one.",
     .action = "Check whether control has a leader; see `replica.leader_missing` there."}};

kernel::event_kind const target_departed_event{
    {.number = 312,
     .name = "target.departed",
     .level = kernel::severity::info,
     .meaning = "A target said in an answer that it leaves; this instance sends it no further "
                "requests and tells control.",
     .action = "None."}};
kernel::histogram_kind const
    round_trips("control.round_trip",
                "Time that a report and the answer of control were on their way.");

} // namespace mulberryrudder::entry
