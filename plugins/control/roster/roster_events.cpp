#include "roster_events.hpp"

namespace mulberryrudder::control
{

kernel::counter_kind const announced_counter{"roster.announcements",
                                             "Announcements that targets sent to this instance."};
kernel::counter_kind const stale_counter{
    "roster.stale", "Announcements that changed nothing that is known of the target."};
kernel::counter_kind const polls_counter{"roster.polls",
                                         "Polls of entry instances, which contain their reports."};
kernel::event_kind const target_event{
    {.number = 720,
     .name = "roster.target_changed",
     .level = kernel::severity::info,
     .meaning = "A notice changed the recorded state of a target.",
     .action = "None."}};
kernel::event_kind const leave_event{
    {.number = 721,
     .name = "roster.leave_answered",
     .level = kernel::severity::info,
     .meaning = "A leaving target got its answer; `held` is whether a majority of the control "
                "instances keeps on its disks that it leaves, `holders` how many of them do, and "
                "`kept_here` whether this one does.",
     .action = "If `held` is false often, check the connections between control instances and "
               "their disks."}};
kernel::event_kind const pause_event{
    {.number = 722,
     .name = "roster.stood_still",
     .level = kernel::severity::warning,
     .meaning = "This process did not run for a while, so the timeouts of targets are extended.",
     .action = "Check the load of the machine."}};

kernel::event_kind const synchronized_event{
    {.number = 723,
     .name = "roster.synchronized",
     .level = kernel::severity::info,
     .meaning = "After a start, a pause or a loss of the other control instances, this one holds "
                "every acknowledged leave of a target again; `tables` is the number of instances "
                "that sent their whole tables.",
     .action = "None. Without tables of half of the instances it waited for the targets' own "
               "announcements; check the connections to the others."}};

kernel::event_kind const confirmation_event{
    {.number = 724,
     .name = "roster.confirmation_changed",
     .level = kernel::severity::info,
     .meaning =
         "The steering state of this instance is confirmed to contain all acknowledged orders, "
         "or is not any more; `age_ms` is the time since the last confirmation, -1 without one, "
         "`newest` the newest generation that another instance reported.",
     .action = "If it stays unconfirmed while there is a leader, check the connections to and "
               "from the other control instances."}};

kernel::event_kind const connection_event{
    {.number = 725,
     .name = "roster.connection_changed",
     .level = kernel::severity::warning,
     .meaning =
         "Entries may rely on this instance from now on, or must leave it (`connected`): it hears "
         "`heard` of `of` control instances, itself included, and `synchronized` is whether its "
         "table of targets holds every acknowledged leave. At a planned stop they must leave it.",
     .action = "If it stays unconnected while it hears most of the others, see "
               "`roster.synchronized`; otherwise check the connections between control instances "
               "and whether `of` counts some that are gone."}};

kernel::event_kind const restored_event{
    {.number = 727,
     .name = "roster.restored",
     .level = kernel::severity::info,
     .meaning = "The leaves of targets that an earlier start of this instance acknowledged, and "
                "the control instances that it knew, were read from the disk. `intact` is whether "
                "its table counts for other instances.",
     .action = "None."}};

kernel::counter_kind const refused_counter{
    "roster.refused", "Announcements that could not be read or held values out of bounds."};
kernel::event_kind const refused_event{
    {.number = 726,
     .name = "roster.announcement_refused",
     .level = kernel::severity::warning,
     .meaning = "An announcement of a target could not be read, or a value in it is out of bounds; "
                "it names no target to use. At most once in 10 s for each target.",
     .action = "Examine the software of that target, or whoever else sent the announcement."}};

} // namespace mulberryrudder::control
