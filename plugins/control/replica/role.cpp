#include "role.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace mulberryrudder::control
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;

struct election_timed_out_event
{
};
struct pre_vote_won_event
{
};
struct election_won_event
{
};
struct step_down_event
{
};
struct disk_failed_event
{
};
struct disk_restored_event
{
};

struct role_table : msm::front::state_machine_def<role_table>
{
    struct follower : msm::front::state<>
    {
    };
    struct pre_candidate : msm::front::state<>
    {
    };
    struct candidate : msm::front::state<>
    {
    };
    struct leader : msm::front::state<>
    {
    };
    struct stopped : msm::front::state<>
    {
    };

    using initial_state = follower;

    template <class From, class Event, class To>
    using row = msm::front::Row<From, Event, To, none, none>;

    using transition_table = boost::mpl::vector<
        row<follower, election_timed_out_event, pre_candidate>,
        row<pre_candidate, election_timed_out_event, pre_candidate>,
        row<pre_candidate, pre_vote_won_event, candidate>,
        row<pre_candidate, election_won_event, leader>,
        row<pre_candidate, step_down_event, follower>,
        row<pre_candidate, disk_failed_event, stopped>,
        row<candidate, election_timed_out_event, pre_candidate>,
        row<candidate, election_won_event, leader>, row<candidate, step_down_event, follower>,
        row<candidate, disk_failed_event, stopped>, row<leader, step_down_event, follower>,
        row<leader, disk_failed_event, stopped>, row<follower, step_down_event, follower>,
        row<follower, disk_failed_event, stopped>, row<stopped, disk_failed_event, stopped>,
        row<stopped, disk_restored_event, follower>>;

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
        check_invariant(false, "the replica's role has no such transition");
    }

    template <class Machine, class Event>
    void exception_caught(Event const&, Machine&, std::exception& e)
    {
        throw invariant_violated(e.what());
    }
};

} // namespace

class role_machine::machine : public msm::back::state_machine<role_table>
{
public:
    template <class State>
    bool is_in() const
    {
        return *current_state() == msm::back::get_state_id<stt, State>::value;
    }
};

role_machine::role_machine() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

role_machine::~role_machine() = default;

role role_machine::current() const
{
    if (machine_->is_in<role_table::follower>())
        return role::follower;
    if (machine_->is_in<role_table::pre_candidate>())
        return role::pre_candidate;
    if (machine_->is_in<role_table::candidate>())
        return role::candidate;
    return machine_->is_in<role_table::leader>() ? role::leader : role::stopped;
}

void role_machine::election_timed_out()
{
    machine_->process_event(election_timed_out_event{});
}

void role_machine::pre_vote_won()
{
    machine_->process_event(pre_vote_won_event{});
}

void role_machine::election_won()
{
    machine_->process_event(election_won_event{});
}

void role_machine::step_down()
{
    machine_->process_event(step_down_event{});
}

void role_machine::disk_failed()
{
    machine_->process_event(disk_failed_event{});
}

void role_machine::disk_restored()
{
    machine_->process_event(disk_restored_event{});
}

} // namespace mulberryrudder::control
