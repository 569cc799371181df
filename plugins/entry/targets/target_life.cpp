#include "target_life.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace mulberryrudder::entry
{

namespace
{

namespace front = boost::msm::front;

struct starting_announced
{
};
struct serving_announced
{
};
struct leaving_announced
{
};
struct announcements_stopped
{
};
struct failure_detected
{
};
struct recovery_detected
{
};
struct expiry_reached
{
};

template <target_phase Phase>
struct in_phase : front::state<>
{
    template <class Event, class Machine>
    void on_entry(Event const&, Machine& machine)
    {
        machine.phase = Phase;
    }
};

struct life_definition : front::state_machine_def<life_definition>
{
    using starting = in_phase<target_phase::starting>;
    using serving = in_phase<target_phase::serving>;
    using suspected = in_phase<target_phase::suspected>;
    using leaving = in_phase<target_phase::leaving>;
    using gone = in_phase<target_phase::gone>;
    using initial_state = starting;

    template <class From, class Event, class To>
    using row = front::Row<From, Event, To, front::none, front::none>;

    struct transition_table : boost::mpl::vector<row<starting, serving_announced, serving>,       //
                                                 row<starting, leaving_announced, leaving>,       //
                                                 row<starting, announcements_stopped, suspected>, //
                                                 row<serving, starting_announced, starting>,      //
                                                 row<serving, leaving_announced, leaving>,        //
                                                 row<serving, announcements_stopped, suspected>,  //
                                                 row<serving, failure_detected, suspected>,       //
                                                 row<suspected, starting_announced, starting>,    //
                                                 row<suspected, leaving_announced, leaving>,      //
                                                 row<suspected, recovery_detected, serving>,      //
                                                 row<suspected, expiry_reached, gone>,            //
                                                 row<leaving, expiry_reached, gone>>
    {
    };

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }

    target_phase phase = target_phase::starting;
};

using life_machine = boost::msm::back::state_machine<life_definition>;

} // namespace

class target_life::machine : public life_machine
{
};

target_life::target_life() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

target_life::~target_life() = default;
target_life::target_life(target_life&&) noexcept = default;
target_life& target_life::operator=(target_life&&) noexcept = default;

target_phase target_life::phase() const
{
    return machine_->phase;
}

void target_life::announced(target_state state)
{
    switch (state)
    {
    case target_state::starting:
        machine_->process_event(starting_announced{});
        break;
    case target_state::serving:
        machine_->process_event(serving_announced{});
        break;
    case target_state::leaving:
        machine_->process_event(leaving_announced{});
        break;
    }
}

void target_life::announcements_missed()
{
    machine_->process_event(announcements_stopped{});
}

void target_life::failed()
{
    machine_->process_event(failure_detected{});
}

void target_life::recovered()
{
    machine_->process_event(recovery_detected{});
}

void target_life::expired()
{
    machine_->process_event(expiry_reached{});
}

} // namespace mulberryrudder::entry
