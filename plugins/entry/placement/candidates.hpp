#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_CANDIDATES_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_CANDIDATES_HPP

#include <mulberryrudder/entry/plan_view.hpp>

#include <functional>
#include <vector>

namespace mulberryrudder::entry
{

/// Distance of a target from this instance, nearest first.
enum class proximity
{
    own_domain,
    own_region,
    other_region
};

/// A target that is eligible for a request.
struct candidate
{
    listed_target const* listed = nullptr;
    proximity distance = proximity::other_region;
    region_id region;
    double score = 0;        ///< home_score() for the request's object; higher is better.
    double region_score = 0; ///< home_score() of its region for the object; higher is better.
    std::size_t rank = 0;    ///< Position among the candidates of its region, from 0.
    double busy = 0;         ///< Requests that run or wait on the target.
    bool paused = false;     ///< It asked to get no requests for some time.
};

/// Parameters that determine the order of one request's candidates.
struct ranking_options
{
    bool cache_affinity = false;    ///< Targets are faster on objects that they handled lately.
    bool prefers_own_region = true; ///< The object is served in this instance's region.
    std::size_t home_count = 1;     ///< Targets of a region that keep the object warm.
};

/// The functions below select one of a request's candidates. Their results depend on the
/// candidates alone, so all instances with the same view select the same target.
///
/// Thread safety: any thread, on distinct lists.

/// Returns a candidate's slots; at least one.
double capacity_of(candidate const& target);

/// Reduces a new version's targets to `share` of them, rounded up, so that each of them
/// gets as much load as a target of the old version. A version that fails only under load
/// would otherwise show no fault while its share is small.
void keep_canary_targets(std::vector<candidate>& all, per_mille share);

/// Sets the rank of each candidate within its region: by descending score, and at equal
/// scores (requests without an object) by distance and then by load.
void rank_within_regions(std::vector<candidate>& all);

/// Returns whether a candidate is in this instance's region, if that is preferred, or in
/// another region, if that is.
bool is_in_preferred_region(candidate const& target, ranking_options const& options);

/// Sets the region scores of the candidates for an object; a region's weight is the number
/// of slots of its candidates.
void score_regions(std::vector<candidate>& all, object_id const& object);

/// Returns the region with the highest score. All instances with the same view return the
/// same one. Preconditions: there is a candidate, and score_regions() was called.
region_id const& best_region(std::vector<candidate> const& all);

/// Sorts candidates: the preferred region or regions first, within them homes before
/// other targets, then other regions by descending region score, then by rank.
/// Preconditions: rank_within_regions() and score_regions() were called.
void order_by_proximity(std::vector<candidate>& all, ranking_options const& options);

/// Returns the first candidate with a free slot that is not paused, or null. With cache affinity, a
/// target that is not a home of the object qualifies only while it is idle.
candidate const* first_with_capacity(std::vector<candidate> const& all,
                                     ranking_options const& options);

/// Returns the home in the preferred region with the lowest utilization that is not paused and for
/// which `in_time` is true; null if there is none. `queue_ratio` limits the requests that wait
/// there, in thousandths of the target's slots.
candidate const* shortest_queue(std::vector<candidate> const& all, ranking_options const& options,
                                per_mille queue_ratio,
                                std::function<bool(candidate const&)> const& in_time);

} // namespace mulberryrudder::entry

#endif
