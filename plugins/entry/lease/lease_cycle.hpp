#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_LEASE_CYCLE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_LEASE_CYCLE_HPP

#include <boost/core/ref.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

namespace mulberryrudder::entry
{

/// Takes note of the changes of a lease's life cycle.
class lease_observer
{
public:
    virtual ~lease_observer() = default;

    /// The first lease since the start was accepted.
    virtual void lease_gained() = 0;
    /// The lease ended without a renewal.
    virtual void lease_lost() = 0;
    /// A lease was accepted after the last one had ended.
    virtual void lease_regained() = 0;
};

/// A grant was accepted.
struct grant_accepted
{
};

/// The lease's deadline has passed.
struct deadline_passed
{
};

/// Describes the life cycle of an entry's lease: none yet, live, lapsed.
class lease_cycle_def : public boost::msm::front::state_machine_def<lease_cycle_def>
{
public:
    struct seeking : boost::msm::front::state<>
    {
    };
    struct live : boost::msm::front::state<>
    {
    };
    struct lapsed : boost::msm::front::state<>
    {
    };
    using initial_state = seeking;

    explicit lease_cycle_def(lease_observer& observer) : observer_(observer) {}

    void gain(grant_accepted const&) { observer_.lease_gained(); }
    void renew(grant_accepted const&) {}
    void lose(deadline_passed const&) { observer_.lease_lost(); }
    void regain(grant_accepted const&) { observer_.lease_regained(); }

    using self = lease_cycle_def;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        a_row<seeking, grant_accepted,  live,   &self::gain>,
        a_row<live,    grant_accepted,  live,   &self::renew>,
        a_row<live,    deadline_passed, lapsed, &self::lose>,
        a_row<lapsed,  grant_accepted,  live,   &self::regain>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }

private:
    lease_observer& observer_;
};

using lease_cycle = boost::msm::back::state_machine<lease_cycle_def>;

} // namespace mulberryrudder::entry

#endif
