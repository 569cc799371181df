#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_RELEASE_NOTES_DIFFERENCES_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_RELEASE_NOTES_DIFFERENCES_HPP

#include <mulberryrudder/control/operator_notes.hpp>

#include <vector>

namespace mulberryrudder::control::internal
{

/// Returns the differences between two plans, sorted by place. A customer's key is shown by
/// its id, never in full.
std::vector<config_difference> differences_of(fleet_plan const& before, fleet_plan const& after);

} // namespace mulberryrudder::control::internal

#endif
