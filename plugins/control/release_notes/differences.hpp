#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_RELEASE_NOTES_DIFFERENCES_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_RELEASE_NOTES_DIFFERENCES_HPP

#include <mulberryrudder/control/operator_notes.hpp>

#include <vector>

namespace mulberryrudder::control::internal
{

/// Lists what differs between two plans, sorted by place. Keys appear by their id.
std::vector<config_difference> differences_of(fleet_plan const& before, fleet_plan const& after);

} // namespace mulberryrudder::control::internal

#endif
