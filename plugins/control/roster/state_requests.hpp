#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_STATE_REQUESTS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_STATE_REQUESTS_HPP

#include "control_table.hpp"

#include <set>

namespace mulberryrudder::control
{

/// Chooses the control instance that is asked for a newer steering state. A state may be large, so
/// one instance is asked at a time, and another one if it does not answer.
///
/// Thread safety: one owner.
class state_requests
{
public:
    /// Returns the instance to ask now; nothing while an answer is awaited, or if no instance of
    /// which a message arrived at or after `cutoff` has a newer state. `own` is the state that this
    /// instance holds. Instances of `region` are asked first.
    std::optional<instance_id> next(std::map<instance_id, control_table::row> const& known,
                                    generation_id own, region_id const& region, instant cutoff,
                                    instant now);

    /// Records that an instance sent its state.
    void record_answer(instance_id sender) { silent_.erase(sender); }

private:
    std::optional<instance_id> asked_; ///< Whose answer is awaited.
    generation_id asked_with_;         ///< Generation that was held when it was asked.
    instant answer_due_;
    std::set<instance_id> silent_; ///< Did not answer their last request in time.
};

} // namespace mulberryrudder::control

#endif
