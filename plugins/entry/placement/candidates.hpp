#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_CANDIDATES_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_CANDIDATES_HPP

#include <mulberryrudder/entry/plan_view.hpp>

#include <functional>
#include <vector>

namespace mulberryrudder::entry
{

/// Where a target stands, as seen from this instance.
enum class nearness
{
    own_domain,
    own_region,
    elsewhere
};

/// A target that may take a request.
struct candidate
{
    listed_target const* target = nullptr;
    nearness where = nearness::elsewhere;
    region_id region;
    double score = 0;     ///< As a home of the request's object; higher is better.
    double gathers = 0;   ///< Score of its region for the object; higher is better.
    std::size_t rank = 0; ///< Among the candidates of its region.
    double busy = 0;      ///< Requests that run or wait there.
};

/// What the order of one request's candidates depends on.
struct choice_order
{
    bool warms = false;    ///< Targets are faster on the object if they handled it lately.
    bool stays = true;     ///< The object is served in the own region.
    std::size_t homes = 1; ///< Targets of a region on which the object is kept.
};

/// The rules by which one of a request's candidates is chosen. They look at nothing but
/// the candidates, so that every instance with the same view chooses alike.
///
/// Thread safety: any thread, on distinct lists.

/// Returns a candidate's slots; at least one.
double capacity_of(candidate const& it);

/// Keeps as many of a new version's targets as its share of the requests loads like the
/// old ones: a version that fails under load only shows it while it has little.
void keep_trial_targets(std::vector<candidate>& all, per_mille share);

/// Ranks the candidates of each region: the object's homes first, without an object the
/// near ones that are least busy.
void rank_within_regions(std::vector<candidate>& all);

/// Returns whether a candidate stands where the object is to be served.
bool is_preferred(candidate const& it, choice_order const& how);

/// Scores the candidates' regions for an object, by the slots of the candidates in each.
void score_regions(std::vector<candidate>& all, object_id const& object);

/// Returns the region that suits the object best. All instances with the same view name the
/// same one. Preconditions: there is a candidate, and score_regions() was called.
region_id const& gathering_region(std::vector<candidate> const& all);

/// Puts candidates where the object is to be served first, homes before others. Of other
/// regions the one that suits the object best comes first.
/// Preconditions: rank_within_regions() and score_regions() were called.
void order_by_nearness(std::vector<candidate>& all, choice_order const& how);

/// Returns the first candidate with a free slot, or null. A target that holds nothing of
/// the object is taken only while it is idle.
candidate const* first_with_room(std::vector<candidate> const& all, choice_order const& how);

/// Returns the preferred home with the shortest queue, at most `queue_part` of its slots
/// beyond them, in which the request ends `in_time`; null if there is none.
candidate const* shortest_queue(std::vector<candidate> const& all, choice_order const& how,
                                per_mille queue_part,
                                std::function<bool(candidate const&)> const& in_time);

} // namespace mulberryrudder::entry

#endif
