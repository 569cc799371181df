#ifndef MULBERRYRUDDER_TESTS_CONTROL_FLEET_STATE_NAIVE_PLAN_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_FLEET_STATE_NAIVE_PLAN_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

#include <map>
#include <optional>
#include <string>

namespace mulberryrudder::control::testing
{

/// A plan as a flat table from a path to a value.
using naive_plan = std::map<std::string, std::string>;

/// Flattens a plan.
naive_plan flatten(fleet_plan const& from);

/// Applies a note to a flat plan line by line; nothing if any line does not fit.
std::optional<naive_plan> apply_naively(naive_plan plan, release_note const& note);

} // namespace mulberryrudder::control::testing

#endif
