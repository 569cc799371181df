#ifndef MULBERRYRUDDER_CONTROL_LEASE_PART_HPP
#define MULBERRYRUDDER_CONTROL_LEASE_PART_HPP

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <vector>

namespace mulberryrudder::control
{

/// One thing that leases carry besides the configuration, such as rate slices or
/// headroom: takes an entry's report in and adds its part to the grant. It keeps
/// count of what each entry may act by, over all grants that may be in force.
///
/// Thread safety: the decision core's thread.
class lease_part
{
public:
    virtual ~lease_part() = default;

    /// This replica leads. Grants of former leaders may be in force until `settled`.
    virtual void lead(instant now, instant settled) = 0;

    /// This replica no longer leads: all counts are void.
    virtual void follow() = 0;

    /// Takes an entry's report in and adds to the grant that answers it; the entry
    /// may act by that grant until `until` on this instance's clock.
    /// Precondition: the report's sequence is higher than any before of that boot.
    virtual void grant(messages::renew_request const& asked, instant until, context& with,
                       messages::lease_grant& out) = 0;

    /// An entry started anew: grants to its former process end by time only.
    virtual void restarted(instance_id entry, instant now) = 0;

    /// All grants to an entry have ended.
    virtual void lapsed(instance_id entry, instant now) = 0;
};

/// Lists the parts of leases; the ledger provides it.
class lease_parts
{
public:
    virtual ~lease_parts() = default;
    virtual std::vector<lease_part*> const& all() = 0;
};

} // namespace mulberryrudder::control

#endif
