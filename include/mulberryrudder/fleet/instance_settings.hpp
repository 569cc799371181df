#ifndef MULBERRYRUDDER_FLEET_INSTANCE_SETTINGS_HPP
#define MULBERRYRUDDER_FLEET_INSTANCE_SETTINGS_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::fleet
{

/// A control instance and how the system's own processes reach it.
struct control_address
{
    instance_id id;
    endpoint peer;
};

/// A failure domain and its region.
struct domain_place
{
    domain_id domain;
    region_id region;
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
    /// Control instances that are known by address alone; they listen for the system's
    /// own processes on the port of this instance's own peer address.
    std::vector<endpoint> seeds;
    endpoint operators;   ///< Where others send operators to this control instance.
    bool founding = true; ///< Control instances with blank disks found a group.
    std::vector<domain_place> domains;
};

/// The section; linking fleet/ into a program makes it known there.
extern kernel::section<instance_settings> const instance_section;

/// Returns the description that other instances get.
instance_description describe(instance_settings const& it);

/// Returns the ids of the control instances.
std::vector<instance_id> control_ids(instance_settings const& it);

/// Returns the control instances that are known before any of them was asked, with
/// where they are reached.
std::vector<control_address> contacts(instance_settings const& it);

/// Returns the number of an instance whose settings give none: that of its IPv4
/// address, which no other instance of the fleet has.
instance_id id_of(endpoint const& peer);

/// Returns the region of each failure domain that the settings name.
std::map<domain_id, region_id> regions(instance_settings const& it);

/// Returns a number that differs between two starts, from the wall clock.
boot_id new_boot_id();

/// Reads one element of `/instance/control`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                control_address& out);

/// Reads one element of `/instance/domains`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                domain_place& out);

} // namespace mulberryrudder::fleet

#endif
