#ifndef MULBERRYRUDDER_TESTS_CONTROL_FLEET_STATE_NAIVE_PLAN_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_FLEET_STATE_NAIVE_PLAN_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

#include <map>
#include <optional>
#include <string>

namespace mulberryrudder::control::testing
{

/// A naive model of a plan: a flat table of values by path.
///
/// Paths begin with `c/` for customers, `r/` for routes, `m/` for moves and `l/` for links.
/// A prefix with an id, such as `r/timing`, marks that the entry exists; longer paths, such as
/// `r/timing/version`, hold its values.
using naive_plan = std::map<std::string, std::string>;

/// Returns a plan as a naive one.
naive_plan flatten(fleet_plan const& plan);

/// Applies a note to a naive plan value by value. Returns nothing if any part of the note does
/// not fit the plan.
std::optional<naive_plan> apply_naively(naive_plan plan, release_note const& note);

} // namespace mulberryrudder::control::testing

#endif
