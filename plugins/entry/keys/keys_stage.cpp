#include "key_index.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

refusal_kind const unknown_route({.name = "unknown_route",
                                  .counter_name = "refused.unknown_route",
                                  .status = 404,
                                  .meaning = "No route of this name is configured."});
refusal_kind const key_missing({.name = "key_missing",
                                .counter_name = "refused.key_missing",
                                .status = 401,
                                .meaning = "The route needs a customer's key and none was given."});
refusal_kind const key_unknown({.name = "key_unknown",
                                .counter_name = "refused.key_unknown",
                                .status = 401,
                                .meaning = "The key is not in force for any customer."});
refusal_kind const not_permitted({.name = "not_permitted",
                                  .counter_name = "refused.not_permitted",
                                  .status = 403,
                                  .meaning = "The key's customer may not use the route."});
refusal_kind const
    no_lease({.name = "no_lease",
              .counter_name = "refused.no_lease",
              .status = 503,
              .meaning = "The instance holds no live lease and may not act for customers."});

kernel::event_kind const
    key_withdrawn_late({.number = 140,
                        .name = "key.withdrawn_while_waiting",
                        .level = kernel::severity::info,
                        .meaning = "A request was refused because its key was withdrawn after "
                                   "the request was admitted.",
                        .action = "None, if the withdrawal was intended."});

bool permits(route_config const& route, customer_id const& customer)
{
    return route.customers.empty() || route.customers.contains(customer);
}

/// Binds each request to the customer whose key came with it, and confirms the
/// binding right before the request is forwarded.
///
/// Thread safety: the decision core's thread.
class keys_stage final : public stage
{
public:
    explicit keys_stage(stage_parts const& parts) : services_(parts.services) {}

    step admit(request& what, context& with) override
    {
        auto const& config = fleet().config();
        if (config.generation == generation_id{})
            return refuse(no_lease);
        auto const route = config.routes.find(what.route);
        if (route == config.routes.end())
            return refuse(unknown_route);
        what.repeatable = route->second.idempotent || is_idempotent(what.content->method);
        what.customer = {};
        if (route->second.open)
            return admit_open(what, with);
        return admit_keyed(what, route->second, with);
    }

    step recheck(request const& what, context& with) override
    {
        auto const& config = fleet().config();
        auto const route = config.routes.find(what.route);
        if (route == config.routes.end())
            return refuse(unknown_route);
        bool const live = fleet().lease_live(with.now);
        if (route->second.open && (what.customer == customer_id{} || !live))
            return proceed{};
        if (!live)
            return refuse(no_lease);
        return confirm(what, route->second, with);
    }

private:
    fleet_view const& fleet() const { return services_.require<fleet_view>(); }

    /// A key is optional on an open route, but a wrong one is refused, so that a
    /// customer does not lose its share unnoticed. Without a lease keys cannot be
    /// checked, and the request goes on without a customer.
    step admit_open(request& what, context& with)
    {
        if (!what.key || !fleet().lease_live(with.now))
            return proceed{};
        auto const* const owner = owner_of(*what.key);
        if (owner == nullptr)
            return refuse(key_unknown);
        what.customer = *owner;
        return proceed{};
    }

    step admit_keyed(request& what, route_config const& route, context& with)
    {
        if (!what.key)
            return refuse(key_missing);
        if (!fleet().lease_live(with.now))
            return refuse(no_lease);
        auto const* const owner = owner_of(*what.key);
        if (owner == nullptr)
            return refuse(key_unknown);
        if (!permits(route, *owner))
            return refuse(not_permitted);
        what.customer = *owner;
        return proceed{};
    }

    step confirm(request const& what, route_config const& route, context& with)
    {
        auto const* const owner = what.key ? owner_of(*what.key) : nullptr;
        if (owner == nullptr || *owner != what.customer)
        {
            with.events.record(key_withdrawn_late, {{"customer", what.customer.value()},
                                                    {"route", what.route.value()}});
            return refuse(key_unknown);
        }
        if (!route.open && !permits(route, *owner))
            return refuse(not_permitted);
        return proceed{};
    }

    customer_id const* owner_of(digest const& key)
    {
        index_.follow(fleet().config());
        return index_.find(key);
    }

    kernel::service_map const& services_;
    key_index index_;
};

stage_registrar<keys_stage> const entered{"keys", stage_order::keys};

} // namespace

} // namespace mulberryrudder::entry
