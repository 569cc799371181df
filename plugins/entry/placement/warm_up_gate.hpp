#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_WARM_UP_GATE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_WARM_UP_GATE_HPP

#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>

#include <map>

namespace mulberryrudder::entry
{

/// Bounds the requests to cold targets. Only the entries of a target's own failure
/// domain send to it while it is cold, each its even part of the rate it bears.
///
/// Thread safety: one owner.
class warm_up_gate
{
public:
    /// Returns whether a cold target can take one more request of this instance now.
    /// Precondition: the target is in this instance's failure domain.
    bool has_room(target_id const& id, plan_service const& service, std::int64_t entries,
                  instant now);

    /// Takes that request's token. Precondition: has_room() for the same time.
    void take(target_id const& id);

    /// Forgets targets that are warm.
    void forget_all_but(std::map<target_id, listed_target> const& listed, instant now);

private:
    std::map<target_id, token_bucket> buckets_;
};

} // namespace mulberryrudder::entry

#endif
