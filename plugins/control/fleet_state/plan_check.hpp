#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_PLAN_CHECK_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_PLAN_CHECK_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

namespace mulberryrudder::control::internal
{

/// Checks a note on its own: the form of names, the limits of values, and that no name occurs
/// in two parts of the note that exclude each other. Appends each error with its place in the
/// note.
void check_note(release_note const& note, failures& failed);

/// Checks a plan that results from a note: that each reference leads to an existing entry, that
/// each move changes the version, and that no key belongs to two customers. Appends each error.
void check_plan(fleet_plan const& plan, failures& failed);

} // namespace mulberryrudder::control::internal

#endif
