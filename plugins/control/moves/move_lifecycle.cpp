#include "move_lifecycle.hpp"

#include <boost/core/ref.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

template <move_trigger Trigger>
struct triggered
{
};

using due = triggered<move_trigger::step_due>;
using missing = triggered<move_trigger::measurements_missing>;
using current = triggered<move_trigger::measurements_current>;
using reached = triggered<move_trigger::cap_reached>;
using below = triggered<move_trigger::below_cap>;
using over = triggered<move_trigger::watch_over>;
using fault = triggered<move_trigger::fault_detected>;

/// Defines the states and the transition table.
class lifecycle_def : public boost::msm::front::state_machine_def<lifecycle_def>
{
public:
    /// Stores its phase in the machine when the state is entered.
    template <move_phase Phase>
    struct phase_state : boost::msm::front::state<>
    {
        template <class Event, class Machine>
        void on_entry(Event const&, Machine& machine)
        {
            machine.phase = Phase;
        }
    };
    using stepping = phase_state<move_phase::stepping>;
    using held = phase_state<move_phase::held>;
    using watching = phase_state<move_phase::watching>;
    using finishing = phase_state<move_phase::finishing>;
    using taking_back = phase_state<move_phase::taking_back>;
    using initial_state = stepping;

    explicit lifecycle_def(move_actions& actions) : actions_(actions) {}

    template <class Event>
    void step_up(Event const&)
    {
        actions_.step_up();
    }
    template <class Event>
    void hold(Event const&)
    {
        actions_.hold();
    }
    template <class Event>
    void resume(Event const&)
    {
        actions_.resume();
    }
    template <class Event>
    void watch(Event const&)
    {
        actions_.watch();
    }
    template <class Event>
    void finish(Event const&)
    {
        actions_.finish();
    }
    template <class Event>
    void roll_back(Event const&)
    {
        actions_.roll_back();
    }

    using self = lifecycle_def;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        a_row<stepping, due,     stepping,    &self::step_up<due>>,
        a_row<stepping, missing, held,        &self::hold<missing>>,
        a_row<stepping, reached, watching,    &self::watch<reached>>,
        a_row<stepping, fault,   taking_back, &self::roll_back<fault>>,
        a_row<held,     current, stepping,    &self::resume<current>>,
        a_row<held,     reached, watching,    &self::watch<reached>>,
        a_row<held,     fault,   taking_back, &self::roll_back<fault>>,
        a_row<watching, below,   stepping,    &self::resume<below>>,
        a_row<watching, over,    finishing,   &self::finish<over>>,
        a_row<watching, fault,   taking_back, &self::roll_back<fault>>,
        a_row<finishing, fault,  taking_back, &self::roll_back<fault>>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }

    move_phase phase = move_phase::stepping;

private:
    move_actions& actions_;
};

} // namespace

struct move_lifecycle::machine : boost::msm::back::state_machine<lifecycle_def>
{
    using boost::msm::back::state_machine<lifecycle_def>::state_machine;

    template <move_trigger Trigger>
    static void process(machine& self)
    {
        self.process_event(triggered<Trigger>{});
    }
};

std::string_view to_string(move_phase phase)
{
    static constexpr std::array<std::string_view, 5> names{"stepping", "held", "watching",
                                                           "finishing", "taking back"};
    return names.at(static_cast<std::size_t>(phase));
}

move_lifecycle::move_lifecycle(move_actions& actions)
    : machine_(std::make_unique<machine>(boost::ref(actions)))
{
    machine_->start();
}

move_lifecycle::~move_lifecycle() = default;

void move_lifecycle::process(move_trigger trigger)
{
    static constexpr std::array table{&machine::process<move_trigger::step_due>,
                                      &machine::process<move_trigger::measurements_missing>,
                                      &machine::process<move_trigger::measurements_current>,
                                      &machine::process<move_trigger::cap_reached>,
                                      &machine::process<move_trigger::below_cap>,
                                      &machine::process<move_trigger::watch_over>,
                                      &machine::process<move_trigger::fault_detected>};
    table.at(static_cast<std::size_t>(trigger))(*machine_);
}

move_phase move_lifecycle::phase() const
{
    return machine_->phase;
}

} // namespace mulberryrudder::control
