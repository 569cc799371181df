#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_PLAN_CHECK_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_PLAN_CHECK_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

namespace mulberryrudder::control::internal
{

/// Checks a note by itself: names, limits, and that nothing is named twice.
/// Appends what is wrong, each with its place in the note.
void check_note(release_note const& note, failures& failed);

/// Checks a plan that a note led to, as a whole: what refers to what, and that
/// no key belongs to two customers.
void check_plan(fleet_plan const& plan, failures& failed);

} // namespace mulberryrudder::control::internal

#endif
