#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_WARM_UP_GATE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_WARM_UP_GATE_HPP

#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>

#include <map>

namespace mulberryrudder::entry
{

/// Limits the rate of requests to cold targets. Only the entry instances of a target's own
/// failure domain send to it while it is cold, each an equal share of its warm-up rate.
///
/// Thread safety: one owner.
class warm_up_gate
{
public:
    /// Returns whether this instance may send one more request to a cold target now.
    /// `entry_count` is the number of entry instances in the domain.
    /// Precondition: the target is in this instance's failure domain.
    bool can_accept(target_id const& id, plan_service const& service, std::int64_t entry_count,
                    instant now);

    /// Consumes one request's token. Precondition: can_accept() returned true for the same time.
    void acquire(target_id const& id);

    /// Removes the buckets of targets that are warm or no longer listed.
    void remove_warm(std::map<target_id, listed_target> const& listed, instant now);

private:
    std::map<target_id, token_bucket> buckets_;
};

} // namespace mulberryrudder::entry

#endif
