#include "candidates.hpp"

#include "object_homes.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace mulberryrudder::entry
{

namespace
{

/// Requests that a target which holds nothing of the object runs at most, this one
/// included: it takes several times as long there, and drives out objects that it holds.
constexpr double most_elsewhere = 1;

} // namespace

double capacity_of(candidate const& it)
{
    return static_cast<double>(std::max<std::int64_t>(it.target->what.capacity.count(), 1));
}

void keep_trial_targets(std::vector<candidate>& all, per_mille share)
{
    auto const fraction = [](candidate const& it)
    { return object_fraction(object_id(it.target->what.id.value()), "trial"); };
    std::sort(all.begin(), all.end(),
              [&](candidate const& a, candidate const& b) { return fraction(a) < fraction(b); });
    auto const whole = static_cast<std::size_t>(whole_share.count());
    auto const part = static_cast<std::size_t>(share.count());
    all.resize(std::min(all.size(), (all.size() * part + whole - 1) / whole));
}

void rank_within_regions(std::vector<candidate>& all)
{
    std::sort(all.begin(), all.end(),
              [](candidate const& a, candidate const& b)
              {
                  if (a.region != b.region)
                      return a.region < b.region;
                  if (a.score != b.score)
                      return a.score > b.score;
                  return std::pair(a.where, a.busy) < std::pair(b.where, b.busy);
              });
    for (std::size_t n = 1; n < all.size(); ++n)
        if (all[n].region == all[n - 1].region)
            all[n].rank = all[n - 1].rank + 1;
}

bool is_preferred(candidate const& it, choice_order const& how)
{
    return (it.where != nearness::elsewhere) == how.stays;
}

void score_regions(std::vector<candidate>& all, object_id const& object)
{
    std::map<region_id, slots> rooms;
    for (auto const& it : all)
        rooms[it.region] += it.target->what.capacity;
    std::map<region_id, double> scores;
    for (auto const& [region, room] : rooms)
        scores.emplace(region, home_score(object, target_id(region.value()), room));
    for (auto& it : all)
        it.gathers = scores.at(it.region);
}

region_id const& gathering_region(std::vector<candidate> const& all)
{
    auto const less = [](candidate const& a, candidate const& b) { return a.gathers < b.gathers; };
    return std::max_element(all.begin(), all.end(), less)->region;
}

void order_by_nearness(std::vector<candidate>& all, choice_order const& how)
{
    auto const place = [&](candidate const& it)
    {
        return std::tuple(!is_preferred(it, how), it.rank >= how.homes,
                          it.where == nearness::elsewhere ? -it.gathers : 0.0, it.rank);
    };
    std::stable_sort(all.begin(), all.end(),
                     [&](candidate const& a, candidate const& b) { return place(a) < place(b); });
}

candidate const* first_with_room(std::vector<candidate> const& all, choice_order const& how)
{
    auto const has_room = [&](candidate const& it)
    {
        bool const holds_nothing = how.warms && it.rank >= how.homes;
        return it.busy + 1 <= (holds_nothing ? most_elsewhere : capacity_of(it));
    };
    auto const it = std::find_if(all.begin(), all.end(), has_room);
    return it == all.end() ? nullptr : &*it;
}

candidate const* shortest_queue(std::vector<candidate> const& all, choice_order const& how,
                                per_mille queue_part,
                                std::function<bool(candidate const&)> const& in_time)
{
    candidate const* best = nullptr;
    double least = 1.0 + static_cast<double>(queue_part.count()) / 1000;
    for (auto const& it : all)
    {
        auto const use = (it.busy + 1) / capacity_of(it);
        if (!is_preferred(it, how) || it.rank >= how.homes || use >= least || !in_time(it))
            continue;
        least = use;
        best = &it;
    }
    return best;
}

} // namespace mulberryrudder::entry
