#include "candidates.hpp"

#include "object_homes.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace mulberryrudder::entry
{

namespace
{

/// Limit of the requests on a target that is not a home of the object, the new one
/// included: the request takes several times as long there and evicts other objects.
constexpr double max_requests_on_non_home = 1;

} // namespace

double capacity_of(candidate const& target)
{
    return static_cast<double>(std::max<std::int64_t>(target.listed->what.capacity.count(), 1));
}

void keep_canary_targets(std::vector<candidate>& all, per_mille share)
{
    auto const fraction = [](candidate const& it)
    { return object_fraction(object_id(it.listed->what.id.value()), "trial"); };
    std::sort(all.begin(), all.end(),
              [&](candidate const& a, candidate const& b) { return fraction(a) < fraction(b); });
    auto const denominator = static_cast<std::size_t>(whole_share.count());
    auto const numerator = static_cast<std::size_t>(share.count());
    all.resize(std::min(all.size(), (all.size() * numerator + denominator - 1) / denominator));
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
                  return std::pair(a.distance, a.busy) < std::pair(b.distance, b.busy);
              });
    for (std::size_t n = 1; n < all.size(); ++n)
        if (all[n].region == all[n - 1].region)
            all[n].rank = all[n - 1].rank + 1;
}

bool is_in_preferred_region(candidate const& target, ranking_options const& options)
{
    return (target.distance != proximity::other_region) == options.prefers_own_region;
}

void score_regions(std::vector<candidate>& all, object_id const& object)
{
    std::map<region_id, slots> region_capacities;
    for (auto const& it : all)
        region_capacities[it.region] += it.listed->what.capacity;
    std::map<region_id, double> scores;
    for (auto const& [region, capacity] : region_capacities)
        scores.emplace(region, home_score(object, target_id(region.value()), capacity));
    for (auto& it : all)
        it.region_score = scores.at(it.region);
}

region_id const& best_region(std::vector<candidate> const& all)
{
    auto const less = [](candidate const& a, candidate const& b)
    { return a.region_score < b.region_score; };
    return std::max_element(all.begin(), all.end(), less)->region;
}

void order_by_proximity(std::vector<candidate>& all, ranking_options const& options)
{
    auto const sort_key = [&](candidate const& it)
    {
        return std::tuple(!is_in_preferred_region(it, options), it.rank >= options.home_count,
                          it.distance == proximity::other_region ? -it.region_score : 0.0, it.rank);
    };
    std::stable_sort(all.begin(), all.end(),
                     [&](candidate const& a, candidate const& b)
                     { return sort_key(a) < sort_key(b); });
}

candidate const* first_with_capacity(std::vector<candidate> const& all,
                                     ranking_options const& options)
{
    auto const has_capacity = [&](candidate const& it)
    {
        bool const is_not_home = options.cache_affinity && it.rank >= options.home_count;
        return !it.paused &&
               it.busy + 1 <= (is_not_home ? max_requests_on_non_home : capacity_of(it));
    };
    auto const it = std::find_if(all.begin(), all.end(), has_capacity);
    return it == all.end() ? nullptr : &*it;
}

candidate const* shortest_queue(std::vector<candidate> const& all, ranking_options const& options,
                                per_mille queue_ratio,
                                std::function<bool(candidate const&)> const& in_time)
{
    candidate const* best = nullptr;
    double lowest = 1.0 + static_cast<double>(queue_ratio.count()) / 1000;
    for (auto const& it : all)
    {
        auto const utilization = (it.busy + 1) / capacity_of(it);
        if (it.paused || !is_in_preferred_region(it, options) || it.rank >= options.home_count ||
            utilization >= lowest || !in_time(it))
            continue;
        lowest = utilization;
        best = &it;
    }
    return best;
}

} // namespace mulberryrudder::entry
