#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/core/plan_size.hpp>

namespace mulberryrudder::control
{

namespace
{

/// Bytes of a node of std::map beside its value.
constexpr std::size_t map_node_bytes = 32;

byte_count size_of_plan(std::shared_ptr<traffic_plan const> const& plan)
{
    return plan ? memory_size(*plan) : byte_count();
}

byte_count size_of_order(replace_plan const& it)
{
    return size_of_plan(it.plan) + byte_count(sizeof it);
}

byte_count size_of_snapshot(steering_snapshot const& it)
{
    auto const accepted =
        it.accepted.size() * (map_node_bytes + sizeof(plan_number) + sizeof(digest));
    auto const versions = it.state.versions.size() * (map_node_bytes + sizeof(service_versions));
    return size_of_plan(it.state.plan) +
           byte_count(static_cast<std::int64_t>(sizeof it + accepted + versions));
}

command_size_registrar<replace_plan, &size_of_order> const order_entered;
command_size_registrar<steering_snapshot, &size_of_snapshot> const snapshot_entered;

} // namespace

} // namespace mulberryrudder::control
