#include "route_index.hpp"

#include <algorithm>
#include <cctype>

namespace mulberryrudder::entry
{

namespace
{

std::string bare_host(std::string_view host)
{
    // An IPv6 address has colons of its own, within brackets.
    auto const colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string out(host);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

bool is_longer(plan_route const* a, plan_route const* b)
{
    return a->path_prefix.size() > b->path_prefix.size();
}

} // namespace

route_index::route_index(traffic_plan const& plan)
{
    for (auto const& it : plan.routes)
        hosts_[bare_host(it.host)].push_back(&it);
    for (auto& [host, routes] : hosts_)
        std::stable_sort(routes.begin(), routes.end(), is_longer);
    for (auto const& customer : plan.customers)
        for (auto const& key : customer.keys)
            keys_.emplace(key, &customer);
}

plan_route const* route_index::find(std::string_view host, std::string_view path) const
{
    auto const routes = hosts_.find(bare_host(host));
    if (routes == hosts_.end())
        return nullptr;
    auto const fits = [path](plan_route const* it) { return path.starts_with(it->path_prefix); };
    auto const it = std::find_if(routes->second.begin(), routes->second.end(), fits);
    return it == routes->second.end() ? nullptr : *it;
}

plan_customer const* route_index::find(digest const& key) const
{
    auto const it = keys_.find(key);
    return it == keys_.end() ? nullptr : it->second;
}

} // namespace mulberryrudder::entry
