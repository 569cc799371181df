#include "region_split.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Largest fraction of the objects that one step moves. Four steps in two seconds stay far
/// below the 0.15 of the traffic that may change region; the margin is needed because a
/// region has few objects and their request rates differ.
constexpr double max_step = 0.01;
/// Utilization of this region above which objects move to other regions.
constexpr double high_utilization = 0.85;
/// Utilization of this region below which objects move back.
constexpr double low_utilization = 0.5;
/// Utilization of the other regions from which on no objects move to them.
constexpr double max_other_utilization = 0.8;

double utilization(region_usage const& it)
{
    return it.capacity.count() == 0 ? 1 : it.busy / static_cast<double>(it.capacity.count());
}

} // namespace

void region_split::update(region_id const& own_region,
                          std::map<region_id, region_usage> const& usage, double warm_fraction,
                          instant now)
{
    region_usage local;
    region_usage others;
    for (auto const& [region, it] : usage)
    {
        auto& total = region == own_region ? local : others;
        total.capacity += it.capacity;
        total.busy += it.busy;
    }
    auto const all = local.capacity + others.capacity;
    if (all == slots())
        return;
    if (!started_)
    {
        started_ = true;
        step_due_ = now + step_interval;
        auto const slot_share = static_cast<double>(local.capacity.count()) *
                                static_cast<double>(std::max<std::size_t>(usage.size(), 1)) /
                                static_cast<double>(all.count());
        own_fraction_ = std::min({slot_share, warm_fraction, 1.0});
        return;
    }
    if (now < step_due_)
        return;
    step_due_ = now + step_interval;
    bool const overloaded =
        utilization(local) > high_utilization && utilization(others) < max_other_utilization;
    if (overloaded || own_fraction_ > warm_fraction + max_step)
        own_fraction_ = std::max(own_fraction_ - max_step, 0.0);
    else if (utilization(local) < low_utilization)
        own_fraction_ = std::min({own_fraction_ + max_step, warm_fraction, 1.0});
}

} // namespace mulberryrudder::entry
