#include "drain_state_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace mulberryrudder::entry
{

namespace
{

namespace front = boost::msm::front;

struct drain_order
{
};
struct drain_withdrawal
{
};
struct stop_request
{
};
struct grace_end
{
};
struct all_finished
{
};

template <drain_phase Phase>
struct in_phase : front::state<>
{
    template <class Event, class Machine>
    void on_entry(Event const&, Machine& self)
    {
        self.phase = Phase;
    }
};

struct drain_definition : front::state_machine_def<drain_definition>
{
    using serving = in_phase<drain_phase::serving>;
    using drained = in_phase<drain_phase::drained>;
    using winding = in_phase<drain_phase::winding>;
    using closing = in_phase<drain_phase::closing>;
    using completed = in_phase<drain_phase::completed>;
    using initial_state = serving;

    template <class From, class Event, class To>
    using row = front::Row<From, Event, To, front::none, front::none>;

    struct transition_table : boost::mpl::vector<row<serving, drain_order, drained>,      //
                                                 row<serving, stop_request, winding>,     //
                                                 row<drained, drain_withdrawal, serving>, //
                                                 row<drained, stop_request, winding>,     //
                                                 row<winding, grace_end, closing>,        //
                                                 row<closing, all_finished, completed>>
    {
    };

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }

    drain_phase phase = drain_phase::serving;
};

using drain_machine = boost::msm::back::state_machine<drain_definition>;

} // namespace

class drain_state_machine::machine : public drain_machine
{
};

drain_state_machine::drain_state_machine() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

drain_state_machine::~drain_state_machine() = default;

drain_phase drain_state_machine::phase() const
{
    return machine_->phase;
}

void drain_state_machine::drain_ordered()
{
    machine_->process_event(drain_order{});
}

void drain_state_machine::drain_withdrawn()
{
    machine_->process_event(drain_withdrawal{});
}

void drain_state_machine::stop_requested()
{
    machine_->process_event(stop_request{});
}

void drain_state_machine::grace_period_ended()
{
    machine_->process_event(grace_end{});
}

void drain_state_machine::requests_finished()
{
    machine_->process_event(all_finished{});
}

} // namespace mulberryrudder::entry
