#include "route_index.hpp"

#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

refusal_kind const no_plan({.name = "no_plan",
                            .counter_name = "refused.no_plan",
                            .status = 503,
                            .meaning = "This instance holds no configuration yet."});
refusal_kind const no_route({.name = "no_route",
                             .counter_name = "refused.no_route",
                             .status = 404,
                             .meaning = "No route takes this host and path."});
refusal_kind const
    unknown_key({.name = "unknown_key",
                 .counter_name = "refused.unknown_key",
                 .status = 401,
                 .meaning = "The route needs a key, and no customer holds this one."});

/// How long a caller is asked to stay away from an instance that starts.
constexpr milliseconds start_pause{500};

/// Finds each request's route and customer in the newest plan, and ends its time at
/// the route's timeout.
///
/// Thread safety: as stage.
class plan_routes_stage final : public stage
{
public:
    explicit plan_routes_stage(stage_parts const& parts) : services_(parts.services) {}

    step admit(request& what, context& with) override
    {
        auto const& newest = services_.require<plan_view>().steering();
        if (!newest)
            return refuse(no_plan, start_pause);
        refresh(newest);
        auto const* const route = index_.find(what.host, what.content->path);
        if (route == nullptr)
            return refuse(no_route);
        what.steering = newest;
        what.planned = route;
        what.route = route->id;
        what.repeatable = route->repeatable;
        if (newest->plan->keyed && !route->open)
        {
            what.payer = what.key ? index_.find(*what.key) : nullptr;
            if (what.payer == nullptr)
                return refuse(unknown_key);
            what.customer = what.payer->id;
        }
        with.flow.limit_deadline(what.id, what.arrived + route->timeout);
        return proceed{};
    }

private:
    void refresh(shared_steering const& newest)
    {
        if (indexed_ == newest->plan)
            return;
        indexed_ = newest->plan;
        index_ = route_index(*indexed_);
    }

    kernel::service_map& services_;
    std::shared_ptr<traffic_plan const> indexed_;
    route_index index_;
};

stage_registrar<plan_routes_stage> const entered{"plan_routes", stage_order::plan_routes};

} // namespace

} // namespace mulberryrudder::entry
