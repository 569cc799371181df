#include "drain_life.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace mulberryrudder::entry
{

namespace
{

namespace front = boost::msm::front;

struct ordered
{
};
struct withdrawn
{
};
struct stop_asked
{
};
struct no_callers
{
};
struct no_work
{
};

template <drain_phase Phase>
struct in_phase : front::state<>
{
    template <class Event, class Machine>
    void on_entry(Event const&, Machine& it)
    {
        it.phase = Phase;
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

    struct transition_table : boost::mpl::vector<row<serving, ordered, drained>,    //
                                                 row<serving, stop_asked, winding>, //
                                                 row<drained, withdrawn, serving>,  //
                                                 row<drained, stop_asked, winding>, //
                                                 row<winding, no_callers, closing>, //
                                                 row<closing, no_work, completed>>
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

class drain_life::machine : public drain_machine
{
};

drain_life::drain_life() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

drain_life::~drain_life() = default;

drain_phase drain_life::phase() const
{
    return machine_->phase;
}

void drain_life::drain_ordered()
{
    machine_->process_event(ordered{});
}

void drain_life::drain_withdrawn()
{
    machine_->process_event(withdrawn{});
}

void drain_life::stop_requested()
{
    machine_->process_event(stop_asked{});
}

void drain_life::callers_gone()
{
    machine_->process_event(no_callers{});
}

void drain_life::work_ended()
{
    machine_->process_event(no_work{});
}

} // namespace mulberryrudder::entry
