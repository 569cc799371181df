#include <mulberryrudder/core/plan_size.hpp>

namespace mulberryrudder
{

namespace
{

/// Bytes of a node of std::set beside its value.
constexpr std::size_t set_node_bytes = 32;

template <class T>
std::size_t bytes_of_ids(std::set<T> const& ids)
{
    std::size_t out = 0;
    for (auto const& it : ids)
        out += set_node_bytes + sizeof(T) + it.value().size();
    return out;
}

std::size_t bytes_of(plan_route const& route)
{
    std::size_t out = sizeof(plan_route) + route.id.value().size() + route.host.size() +
                      route.path_prefix.size() + bytes_of_ids(route.homes);
    for (auto const& it : route.services)
        out += sizeof(service_share) + it.service.value().size();
    return out;
}

std::size_t bytes_of(plan_service const& service)
{
    return sizeof(plan_service) + service.id.value().size() + service.health_path.size();
}

std::size_t bytes_of(plan_customer const& customer)
{
    return sizeof(plan_customer) + customer.id.value().size() +
           customer.keys.size() * (set_node_bytes + sizeof(digest)) + bytes_of_ids(customer.homes);
}

template <class T>
std::size_t bytes_of_all(std::vector<T> const& elements)
{
    std::size_t out = 0;
    for (auto const& it : elements)
        out += bytes_of(it);
    return out;
}

} // namespace

byte_count memory_size(traffic_plan const& plan)
{
    auto const bytes = sizeof(traffic_plan) + plan.source.size() + bytes_of_all(plan.routes) +
                       bytes_of_all(plan.services) + bytes_of_all(plan.customers);
    return byte_count(static_cast<std::int64_t>(bytes));
}

} // namespace mulberryrudder
