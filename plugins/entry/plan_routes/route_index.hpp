#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLAN_ROUTES_ROUTE_INDEX_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLAN_ROUTES_ROUTE_INDEX_HPP

#include <mulberryrudder/core/traffic_plan.hpp>

#include <string_view>
#include <unordered_map>
#include <vector>

namespace mulberryrudder::entry
{

/// Finds the route and the customer of a request in one plan. It refers to the plan,
/// which must outlive it.
///
/// Thread safety: immutable once made.
class route_index
{
public:
    route_index() = default;
    explicit route_index(traffic_plan const& plan);

    /// Returns the route of the host with the longest prefix that begins the path, or
    /// null. The host's case and port do not matter.
    plan_route const* find(std::string_view host, std::string_view path) const;

    /// Returns the customer that holds a key, or null.
    plan_customer const* find(digest const& key) const;

private:
    /// Routes by host; those with longer prefixes come first.
    std::unordered_map<std::string, std::vector<plan_route const*>> hosts_;
    std::unordered_map<digest, plan_customer const*> keys_;
};

} // namespace mulberryrudder::entry

#endif
