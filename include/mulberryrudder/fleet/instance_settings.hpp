#ifndef MULBERRYRUDDER_FLEET_INSTANCE_SETTINGS_HPP
#define MULBERRYRUDDER_FLEET_INSTANCE_SETTINGS_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <vector>

namespace mulberryrudder::fleet
{

/// A control instance and how the system's own processes reach it.
struct control_address
{
    instance_id id;
    endpoint peer;
};

/// Who an instance is and which control instances it knows: the `instance`
/// section, which all daemons share.
struct instance_settings
{
    instance_id id;
    region_id region;
    domain_id domain;
    endpoint peer;
    endpoint caller; ///< Only entry instances have one.
    std::vector<control_address> control;
};

/// The section; linking fleet/ into a program makes it known there.
extern kernel::section<instance_settings> const instance_section;

/// Returns the description that other instances get.
instance_description describe(instance_settings const& it);

/// Returns the ids of the control instances.
std::vector<instance_id> control_ids(instance_settings const& it);

/// Returns a number that differs between two starts, from the wall clock.
boot_id new_boot_id();

/// Reads one element of `/instance/control`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                control_address& out);

} // namespace mulberryrudder::fleet

#endif
