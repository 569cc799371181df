#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LEADER_LEASE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LEADER_LEASE_HPP

#include "replica_settings.hpp"

#include <mulberryrudder/control/membership.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/replica.hpp>

#include <deque>
#include <map>

namespace mulberryrudder::control
{

/// Computes until when no other replica can be elected, for a leader.
///
/// A replica that receives a message of the leader refuses its vote to others for the
/// lease duration from the receipt. The leader counts the same duration from when it
/// sent the round, which is earlier, and subtracts a margin, so clocks may differ in
/// rate and need not be synchronized. (Gray and Cheriton, Leases, 1989; the
/// leader lease of Ongaro's Raft dissertation, section 6.4.1.)
///
/// Thread safety: one owner.
class leader_lease
{
public:
    explicit leader_lease(replica_settings const& config)
        : duration_(config.lease_duration - config.lease_margin)
    {
    }

    /// Discards all rounds and replies, for a new term.
    void reset();

    /// Opens a round whose messages are sent at `now` or later.
    void open_round(instant now);

    messages::round_id round() const { return round_; }

    /// Records a reply to a message of a round. Replies count for the sender's disk only,
    /// so that another disk of the same instance does not inherit them.
    void record_reply(voter const& sender, messages::round_id round);

    /// Extends the lease from the newest round that a majority replied to. `self` counts as
    /// having replied to all rounds.
    void extend(group_membership const& members, voter const& self);

    instant confirmed_until() const { return confirmed_until_; }

private:
    struct sent_round
    {
        messages::round_id round;
        instant sent;
    };

    messages::round_id newest_round_of(voter const& member, voter const& self) const;

    span duration_;
    messages::round_id round_;
    std::deque<sent_round> rounds_; ///< The newest confirmed round and all later ones.
    std::map<instance_id, std::pair<disk_id, messages::round_id>> replies_;
    instant confirmed_until_;
};

} // namespace mulberryrudder::control

#endif
