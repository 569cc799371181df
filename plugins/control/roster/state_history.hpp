#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_STATE_HISTORY_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_STATE_HISTORY_HPP

#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/messages/steering_difference.hpp>

#include <deque>
#include <map>

namespace mulberryrudder::control
{

/// Keeps the latest steering states, as many as a limited number of bytes holds, so that entries
/// which hold one of them receive only how the newest differs from it.
///
/// Thread safety: one owner.
class state_history
{
public:
    /// Adds the newest state; one that is already the newest changes nothing.
    /// Precondition: `state` is not null, and generations do not decrease.
    void add(shared_steering const& state);

    /// Returns how the newest state differs from the one of generation `base`; null if that one
    /// is not kept, is the newest itself or has no plan. The result is valid until the next call
    /// of a member function.
    messages::steering_difference const* difference_from(generation_id base);

    /// Returns about how many bytes the plans of the states take.
    byte_count bytes() const { return bytes_; }

private:
    struct kept_state
    {
        shared_steering state;
        byte_count bytes; ///< Of its plan; 0 if the state before has the same one.
    };

    /// Precondition: there is another state.
    void drop_oldest();

    std::deque<kept_state> states_; ///< By generation.
    byte_count bytes_;              ///< Of all.
    /// Differences of the newest state, by the generation of the older one.
    std::map<generation_id, messages::steering_difference> differences_;
};

} // namespace mulberryrudder::control

#endif
