#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ROSTER_EVENTS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ROSTER_EVENTS_HPP

#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>

namespace mulberryrudder::control
{

/// What the roster component records.
extern kernel::counter_kind const announced_counter;
extern kernel::counter_kind const stale_counter;
extern kernel::counter_kind const polls_counter;
extern kernel::event_kind const target_event;
extern kernel::event_kind const leave_event;
extern kernel::event_kind const pause_event;
extern kernel::event_kind const synchronized_event;
extern kernel::event_kind const confirmation_event;
extern kernel::event_kind const connection_event;
extern kernel::event_kind const restored_event;
extern kernel::counter_kind const refused_counter;
extern kernel::event_kind const refused_event;

} // namespace mulberryrudder::control

#endif
