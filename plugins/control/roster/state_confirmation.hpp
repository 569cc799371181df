#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_STATE_CONFIRMATION_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_STATE_CONFIRMATION_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <deque>
#include <map>
#include <optional>

namespace mulberryrudder::control
{

/// Determines as of when the steering state of this instance is confirmed: every order that
/// was acknowledged before that time is part of it. The leader's lease confirms its own state;
/// another instance adopts the confirmation of an instance that it hears. (Read index and
/// leader lease of Ongaro's Raft dissertation, section 6.4.)
///
/// Clocks of two instances cannot be compared. So a confirmation travels as an age, and counts
/// from when this instance sent the newest message that the other one had received: hearing
/// another instance without being heard confirms nothing.
///
/// Thread safety: one owner.
class state_confirmation
{
public:
    /// Records when this instance sent the message with this number. Precondition: numbers and
    /// times increase.
    void record_sent(sequence_id number, instant now);

    /// Records that another instance's state of `generation` was confirmed `age` before it sent
    /// its message. `echoed` is the newest message of this instance that it had received.
    void record_report(sequence_id echoed, generation_id generation, milliseconds age);

    /// Records that this instance leads and holds every acknowledged order.
    void record_lease(instant now) { confirmed_at_ = now; }

    /// Returns as of when the state of this generation, the one that this instance holds, is
    /// confirmed; nothing if it never was. Precondition: generations do not decrease.
    std::optional<instant> confirmed_at(generation_id own);

private:
    struct sent_message
    {
        sequence_id number;
        instant time;
    };

    std::deque<sent_message> sent_;
    /// Reports of newer generations than this instance holds.
    std::map<generation_id, instant> newer_;
    std::optional<instant> confirmed_at_;
};

} // namespace mulberryrudder::control

#endif
