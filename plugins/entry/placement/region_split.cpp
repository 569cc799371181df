#include "region_split.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Part of the objects that one step moves at most: four steps in two seconds stay far
/// below the 0.15 of the traffic that may change the region, since the few objects of a
/// region differ in how often they are asked for.
constexpr double most_step = 0.01;
/// Use of the own region's slots above which objects move away.
constexpr double full = 0.85;
/// Use below which they come back.
constexpr double relaxed = 0.5;
/// Use of the other regions above which nothing moves there.
constexpr double others_full = 0.8;

double use_of(region_room const& it)
{
    return it.capacity.count() == 0 ? 1 : it.busy / static_cast<double>(it.capacity.count());
}

} // namespace

void region_split::update(region_id const& own, std::map<region_id, region_room> const& rooms,
                          double kept_part, instant now)
{
    region_room here;
    region_room others;
    for (auto const& [region, it] : rooms)
    {
        auto& to = region == own ? here : others;
        to.capacity += it.capacity;
        to.busy += it.busy;
    }
    auto const all = here.capacity + others.capacity;
    if (all == slots())
        return;
    if (!started_)
    {
        started_ = true;
        step_due_ = now + step_period;
        auto const fair = static_cast<double>(here.capacity.count()) *
                          static_cast<double>(std::max<std::size_t>(rooms.size(), 1)) /
                          static_cast<double>(all.count());
        own_part_ = std::min({fair, kept_part, 1.0});
        return;
    }
    if (now < step_due_)
        return;
    step_due_ = now + step_period;
    bool const overfull = use_of(here) > full && use_of(others) < others_full;
    if (overfull || own_part_ > kept_part + most_step)
        own_part_ = std::max(own_part_ - most_step, 0.0);
    else if (use_of(here) < relaxed)
        own_part_ = std::min({own_part_ + most_step, kept_part, 1.0});
}

} // namespace mulberryrudder::entry
