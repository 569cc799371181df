#ifndef MULBERRYRUDDER_ENTRY_FLEET_VIEW_HPP
#define MULBERRYRUDDER_ENTRY_FLEET_VIEW_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <vector>

namespace mulberryrudder::entry
{

/// Shows what the lease says; the lease stage provides it to the other stages.
///
/// Thread safety: the decision core's thread.
class fleet_view
{
public:
    virtual ~fleet_view() = default;

    /// Returns whether the instance may act for keyed customers at `now`.
    virtual bool lease_live(instant now) const = 0;

    /// Returns when the authority ends unless it is renewed; the epoch if there was none.
    virtual instant lease_deadline() const = 0;

    /// Returns the newest configuration held; an empty one before the first lease.
    /// Open routes go on by it after the lease has lapsed.
    virtual fleet_config const& config() const = 0;

    /// Returns the entry instances of the last lease, this one included.
    virtual std::vector<messages::member> const& members() const = 0;

    /// Returns the control instance that is believed to lead.
    virtual instance_id leader() const = 0;

    /// Returns the newest term a grant was accepted of.
    virtual term_id term() const = 0;
};

} // namespace mulberryrudder::entry

#endif
