#include "route_index.hpp"

#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>

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

refusal_kind const
    plan_outdated({.name = "plan_outdated",
                   .counter_name = "refused.plan_outdated",
                   .status = 503,
                   .meaning = "This instance receives the configuration with too long a delay."});
refusal_kind const
    plan_changed({.name = "plan_changed",
                  .counter_name = "refused.plan_changed",
                  .status = 503,
                  .meaning = "A newer configuration handles the request in another way."});

kernel::histogram_kind const plan_age("plan.age",
                                      "Time since the plan by which a request is sent to a target "
                                      "was known to be the newest.");

/// How long a caller is asked to stay away from an instance that starts.
constexpr milliseconds start_pause{500};
/// Retry delay of callers that are refused for an outdated plan: some round trips of the full
/// link that causes it, with a random addition.
constexpr milliseconds min_outdated_pause{600};
constexpr milliseconds outdated_pause_spread{800};
/// Retry delay of callers whose request a newer plan handles in another way.
constexpr milliseconds changed_pause{50};

/// Finds each request's route and customer in the newest plan, and ends its time at
/// the route's timeout. Refuses requests while the plan is outdated, and further attempts of
/// requests that the newest plan handles in another way than the one of their admission.
///
/// Thread safety: as stage.
class plan_routes_stage final : public stage
{
public:
    explicit plan_routes_stage(stage_parts const& parts) : services_(parts.services) {}

    step admit(request& what, context& with) override
    {
        auto const& view = services_.require<plan_view>();
        auto const& newest = view.steering();
        if (!newest)
            return refuse(no_plan, start_pause);
        if (view.is_plan_outdated(with.now))
            return refuse_as_outdated(with);
        refresh(newest);
        auto const* const route = index_.find(what.host, what.content->path);
        if (route == nullptr)
            return refuse(no_route);
        what.steering = newest;
        if (auto const age = view.plan_age(with.now))
            what.plan_confirmed_at = with.now - *age;
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
        with.flow.limit_deadline(what.id, what.first_byte + route->timeout);
        return proceed{};
    }

    step recheck(request const& req, context& ctx) override
    {
        if (req.planned == nullptr)
            return proceed{};
        auto const& view = services_.require<plan_view>();
        if (view.is_plan_outdated(ctx.now))
            return refuse_as_outdated(ctx);
        if (view.steering()->plan == req.steering->plan)
            return proceed{};
        refresh(view.steering());
        if (!is_handled_alike(req))
            return refuse(plan_changed, changed_pause);
        return proceed{};
    }

    void attempt_started(request const& req, attempt const&, context& ctx) override
    {
        if (req.planned == nullptr)
            return;
        if (auto const age = services_.require<plan_view>().plan_age(ctx.now))
            ctx.counters.observe(plan_age, *age);
    }

private:
    static step refuse_as_outdated(context& ctx)
    {
        std::uniform_int_distribution<std::int64_t> spread(0, outdated_pause_spread.count());
        return refuse(plan_outdated, min_outdated_pause + milliseconds(spread(ctx.random)));
    }

    /// Returns whether the indexed plan lets a request that another plan admitted go to the same
    /// service, for the same customer and in the same regions.
    bool is_handled_alike(request const& req) const
    {
        auto const* const route = index_.find(req.host, req.content->path);
        if (route == nullptr || route->id != req.route || route->homes != req.planned->homes ||
            route->open != req.planned->open)
            return false;
        auto const same = [&](service_share const& it) { return it.service == req.service; };
        if (std::none_of(route->services.begin(), route->services.end(), same))
            return false;
        if (req.payer == nullptr)
            return route->open || !indexed_->keyed;
        auto const* const payer = index_.find(*req.key);
        return payer != nullptr && payer->id == req.payer->id && payer->homes == req.payer->homes;
    }

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
