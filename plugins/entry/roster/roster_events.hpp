#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_ROSTER_EVENTS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_ROSTER_EVENTS_HPP

#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>

namespace mulberryrudder::entry
{

/// What the roster stage records.
extern kernel::event_kind const target_learned_event;
extern kernel::event_kind const steering_learned_event;
extern kernel::event_kind const control_unanswered_event;
extern kernel::event_kind const control_answered_event;
extern kernel::event_kind const control_disconnected_event;
extern kernel::event_kind const late_answer_event;
extern kernel::event_kind const search_begun_event;
extern kernel::event_kind const search_ended_event;
extern kernel::event_kind const control_chosen_event;
extern kernel::histogram_kind const confirmation_age;
extern kernel::histogram_kind const notice_age;
extern kernel::counter_kind const reports_counter;
extern kernel::event_kind const plan_outdated_event;
extern kernel::event_kind const plan_doubted_event;
extern kernel::event_kind const plan_unconfirmed_event;
extern kernel::event_kind const target_departed_event;
extern kernel::histogram_kind const round_trips;

} // namespace mulberryrudder::entry

#endif
