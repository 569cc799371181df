#include <mulberryrudder/fleet/steering_difference.hpp>

#include <algorithm>
#include <map>

namespace mulberryrudder::fleet
{

namespace
{

template <class T>
messages::list_difference<T> difference_of(std::vector<T> const& base, std::vector<T> const& newer)
{
    std::multimap<decltype(T::id), std::size_t> base_indices;
    for (std::size_t n = 0; n != base.size(); ++n)
        base_indices.emplace(base[n].id, n);
    messages::list_difference<T> out;
    for (auto const& element : newer)
    {
        auto const [first, last] = base_indices.equal_range(element.id);
        auto const same = [&](auto const& it) { return base[it.second] == element; };
        auto const found = std::find_if(first, last, same);
        if (found != last)
        {
            out.order.push_back(static_cast<std::int32_t>(found->second));
            continue;
        }
        out.order.push_back(~static_cast<std::int32_t>(out.changed.size()));
        out.changed.push_back(element);
    }
    return out;
}

/// Sets `out` to `base` changed by `by`; false if `by` refers to elements that do not exist.
template <class T>
bool apply(messages::list_difference<T> const& by, std::vector<T> const& base, std::vector<T>& out)
{
    out.reserve(by.order.size());
    for (auto const index : by.order)
    {
        auto const& source = index >= 0 ? base : by.changed;
        auto const n = static_cast<std::size_t>(index >= 0 ? index : ~index);
        if (n >= source.size())
            return false;
        out.push_back(source[n]);
    }
    return true;
}

messages::plan_difference difference_of(traffic_plan const& base, traffic_plan const& newer)
{
    return {.number = newer.number,
            .routes = difference_of(base.routes, newer.routes),
            .customers = difference_of(base.customers, newer.customers),
            .services = newer.services,
            .keyed = newer.keyed,
            .limits = newer.limits};
}

} // namespace

messages::steering_difference difference(steering_state const& base, steering_state const& newer)
{
    messages::steering_difference out{.base = base.generation,
                                      .generation = newer.generation,
                                      .plan = std::nullopt,
                                      .evacuated = newer.evacuated,
                                      .versions = newer.versions};
    if (base.plan != newer.plan)
        out.plan = difference_of(*base.plan, *newer.plan);
    return out;
}

std::optional<steering_state> changed(steering_state const& base,
                                      messages::steering_difference const& by)
{
    steering_state out{.generation = by.generation,
                       .plan = base.plan,
                       .evacuated = by.evacuated,
                       .versions = by.versions};
    if (!by.plan)
        return out;
    traffic_plan plan{.number = by.plan->number,
                      .routes = {},
                      .services = by.plan->services,
                      .customers = {},
                      .keyed = by.plan->keyed,
                      .limits = by.plan->limits,
                      .source = {}};
    if (!apply(by.plan->routes, base.plan->routes, plan.routes) ||
        !apply(by.plan->customers, base.plan->customers, plan.customers))
        return std::nullopt;
    out.plan = std::make_shared<traffic_plan const>(std::move(plan));
    return out;
}

} // namespace mulberryrudder::fleet
