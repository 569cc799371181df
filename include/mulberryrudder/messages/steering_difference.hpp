#ifndef MULBERRYRUDDER_MESSAGES_STEERING_DIFFERENCE_HPP
#define MULBERRYRUDDER_MESSAGES_STEERING_DIFFERENCE_HPP

#include <mulberryrudder/core/traffic_plan.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::messages
{

/// How a list differs from another one, the base.
template <class T>
struct list_difference
{
    /// For each element of the new list its index in the base, or the bitwise complement of its
    /// index in `changed`.
    std::vector<std::int32_t> order;
    std::vector<T> changed; ///< The elements that the base does not contain.

    friend bool operator==(list_difference const&, list_difference const&) = default;
};

/// How a plan differs from another one, the base. `source` of a plan is not part of it.
struct plan_difference
{
    plan_number number;
    list_difference<plan_route> routes;
    list_difference<plan_customer> customers;
    std::vector<plan_service> services; ///< All of them.
    bool keyed = false;
    caller_limits limits;

    friend bool operator==(plan_difference const&, plan_difference const&) = default;
};

/// How a steering state differs from an older one.
struct steering_difference
{
    generation_id base; ///< Of the older state.
    generation_id generation;
    std::optional<plan_difference> plan; ///< Nothing if both states have the same plan.
    std::set<domain_id> evacuated;
    std::map<service_id, service_versions> versions;

    friend bool operator==(steering_difference const&, steering_difference const&) = default;
};

} // namespace mulberryrudder::messages

#endif
