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

/// Tells a leader until when no other replica can be elected.
///
/// A replica that hears the leader refuses its vote to others for the lease's
/// span, counted from when it heard. The leader counts the same span from when it
/// sent the round, which is earlier, and ends it by a margin sooner, so clocks
/// may differ in rate but need not agree. (Gray and Cheriton, Leases, 1989; the
/// leader lease of Ongaro's Raft dissertation, section 6.4.1.)
///
/// Thread safety: one owner.
class leader_lease
{
public:
    explicit leader_lease(replica_settings const& config)
        : counted_(config.lease - config.lease_margin)
    {
    }

    /// Starts over, for a new term.
    void reset();

    /// Opens a round whose messages are sent at `now` or later.
    void open_round(instant now);

    messages::round_id round() const { return round_; }

    /// Notes an answer to a message of that round; of a disk, so that another
    /// disk of the same instance does not inherit it.
    void answered(voter const& by, messages::round_id round);

    /// Extends the lease by the newest round that a majority answered, `self` included.
    void count(group_membership const& members, voter const& self);

    instant confirmed_until() const { return confirmed_until_; }

private:
    struct opened_round
    {
        messages::round_id round;
        instant sent;
    };

    messages::round_id answered_by(voter const& it, voter const& self) const;

    span counted_;
    messages::round_id round_;
    std::deque<opened_round> rounds_; ///< From the newest confirmed one on.
    std::map<instance_id, std::pair<disk_id, messages::round_id>> answers_;
    instant confirmed_until_;
};

} // namespace mulberryrudder::control

#endif
