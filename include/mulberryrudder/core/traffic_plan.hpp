#ifndef MULBERRYRUDDER_CORE_TRAFFIC_PLAN_HPP
#define MULBERRYRUDDER_CORE_TRAFFIC_PLAN_HPP

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberryrudder
{

/// A service's part of a route.
struct service_share
{
    service_id service;
    weight part;

    friend bool operator==(service_share const&, service_share const&) = default;
};

/// A route of a traffic plan: which requests it takes and how they are served.
/// Times are configuration here; what is kept of a request is its deadline.
struct plan_route
{
    route_id id;
    std::string host;        ///< Of the requests, without a port.
    std::string path_prefix; ///< The longest that fits selects the route of a request.
    bool repeatable = false; ///< A request may run more than once.
    bool open = false;       ///< No key is needed.
    bool sticky = false;     ///< Targets are faster on objects that they handled lately.
    milliseconds timeout{0}; ///< Longest time until the final answer.
    milliseconds aim{0};     ///< Time within which an answer has its full worth.
    urgency rank;
    target_count most_targets{1}; ///< Targets that may run one request, at most.
    std::vector<service_share> services;
    std::set<region_id> homes; ///< Regions that may serve it; empty for all.

    friend bool operator==(plan_route const&, plan_route const&) = default;
};

/// A service of a traffic plan.
struct plan_service
{
    service_id id;
    std::string health_path;
    connections most_connections;        ///< To one of its targets, from all instances together.
    milliseconds warm_up{0};             ///< For which a target is cold after its start.
    millitokens_per_second warm_up_rate; ///< Requests that a cold target bears.

    friend bool operator==(plan_service const&, plan_service const&) = default;
};

/// A customer of a traffic plan.
struct plan_customer
{
    customer_id id;
    std::set<digest> keys;       ///< SHA-256 of each key that is in force.
    std::optional<urgency> rank; ///< Goes before the rank of the route.
    millitokens_per_second rate; ///< 0 for no limit.
    millitokens burst;
    std::set<region_id> homes; ///< Regions that may serve it; empty for all.

    friend bool operator==(plan_customer const&, plan_customer const&) = default;
};

/// Limits on what callers send; 0 where none is stated.
struct caller_limits
{
    byte_count most_header;
    byte_count most_body;
    milliseconds header_limit{0}; ///< For a header, from its first byte to its last.
    milliseconds idle_limit{0};   ///< For a connection between two requests.

    friend bool operator==(caller_limits const&, caller_limits const&) = default;
};

/// A whole configuration that replaces the one before it, as against release notes,
/// which change it step by step.
struct traffic_plan
{
    plan_number number;
    std::vector<plan_route> routes;
    std::vector<plan_service> services;
    std::vector<plan_customer> customers;
    bool keyed = false; ///< Requests need a key, but on open routes.
    caller_limits limits;
    std::string source; ///< What the operator sent, for reading it back; empty at entries.

    friend bool operator==(traffic_plan const&, traffic_plan const&) = default;
};

/// How far a service's rollout is.
enum class rollout_phase : std::uint8_t
{
    none,
    running,
    succeeded,
    rolled_back
};

/// The versions of a service's targets that may get requests.
struct service_versions
{
    version_id base; ///< Empty until targets of the service are known.
    version_id next; ///< The version of the newest rollout; empty without one.
    per_mille share; ///< What `next` gets of the requests while the rollout runs.
    rollout_phase phase = rollout_phase::none;
    milliseconds duration{0}; ///< Within which the newest rollout is to end, from its order on.

    friend bool operator==(service_versions const&, service_versions const&) = default;
};

/// All that operators decided, as one value. It is immutable once made; a change
/// makes a new one with a higher generation.
struct steering_state
{
    generation_id generation;
    std::shared_ptr<traffic_plan const> plan; ///< Null before the first plan.
    std::set<domain_id> evacuated;            ///< Their targets get no requests.
    std::map<service_id, service_versions> versions;
};

using shared_steering = std::shared_ptr<steering_state const>;

} // namespace mulberryrudder

#endif
