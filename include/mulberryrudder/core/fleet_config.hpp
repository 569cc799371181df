#ifndef MULBERRYRUDDER_CORE_FLEET_CONFIG_HPP
#define MULBERRYRUDDER_CORE_FLEET_CONFIG_HPP

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace mulberryrudder
{

/// A customer as operators configure it. Rate and burst count over all instances.
struct customer_config
{
    millitokens_per_second rate;
    millitokens burst;
    region_id home;        ///< Where most of its requests come from.
    std::set<digest> keys; ///< SHA-256 of each key that is in force.

    friend bool operator==(customer_config const&, customer_config const&) = default;
};

/// A route as operators configure it, with the shares that the moves gave it.
struct route_config
{
    bool open = false;               ///< Open to all: no key is needed.
    bool idempotent = false;         ///< Any method may be run twice on this route.
    std::set<customer_id> customers; ///< Who may use a keyed route; empty means each customer.
    version_id version;              ///< The version that carries the route.
    version_id next;                 ///< The version a move leads to; empty if there is no move.
    per_mille next_share;            ///< Most that `next` may get of the route's requests.

    friend bool operator==(route_config const&, route_config const&) = default;
};

/// Two regions, in the direction of the requests.
struct link_id
{
    region_id from;
    region_id to;

    friend auto operator<=>(link_id const&, link_id const&) = default;
};

/// All that an entry instance must know of the configuration. It is immutable
/// once made; a change makes a new one with a higher generation.
struct fleet_config
{
    generation_id generation;
    std::map<customer_id, customer_config> customers;
    std::map<route_id, route_config> routes;
    std::map<link_id, bytes_per_second> link_caps;
    std::set<digest> quarantined;   ///< Fingerprints of requests that are refused.
    std::set<instance_id> draining; ///< Entry instances that operators are taking out.

    friend bool operator==(fleet_config const&, fleet_config const&) = default;
};

/// Where an instance is and how it is reached.
struct instance_description
{
    instance_id id;
    region_id region;
    domain_id domain;
    endpoint peer;   ///< For the system's own processes.
    endpoint caller; ///< For callers; port 0 on an instance without the entry role.

    friend bool operator==(instance_description const&, instance_description const&) = default;
};

} // namespace mulberryrudder

#endif
