#include "target_life.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace mulberryrudder::entry
{

namespace
{

namespace front = boost::msm::front;

struct announces_starting
{
};
struct announces_serving
{
};
struct announces_leaving
{
};
struct silence
{
};
struct failure_seen
{
};
struct success_seen
{
};
struct oblivion
{
};

template <target_phase Phase>
struct in_phase : front::state<>
{
    template <class Event, class Machine>
    void on_entry(Event const&, Machine& it)
    {
        it.phase = Phase;
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

    struct transition_table : boost::mpl::vector<row<starting, announces_serving, serving>,    //
                                                 row<starting, announces_leaving, leaving>,    //
                                                 row<starting, silence, suspected>,            //
                                                 row<serving, announces_starting, starting>,   //
                                                 row<serving, announces_leaving, leaving>,     //
                                                 row<serving, silence, suspected>,             //
                                                 row<serving, failure_seen, suspected>,        //
                                                 row<suspected, announces_starting, starting>, //
                                                 row<suspected, announces_leaving, leaving>,   //
                                                 row<suspected, success_seen, serving>,        //
                                                 row<suspected, oblivion, gone>,               //
                                                 row<leaving, oblivion, gone>>
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

void target_life::says(target_state state)
{
    switch (state)
    {
    case target_state::starting:
        machine_->process_event(announces_starting{});
        break;
    case target_state::serving:
        machine_->process_event(announces_serving{});
        break;
    case target_state::leaving:
        machine_->process_event(announces_leaving{});
        break;
    }
}

void target_life::went_silent()
{
    machine_->process_event(silence{});
}

void target_life::failed()
{
    machine_->process_event(failure_seen{});
}

void target_life::recovered()
{
    machine_->process_event(success_seen{});
}

void target_life::forgotten()
{
    machine_->process_event(oblivion{});
}

} // namespace mulberryrudder::entry
