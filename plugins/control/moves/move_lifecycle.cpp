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

template <move_happening What>
struct happened
{
};

using due = happened<move_happening::step_due>;
using missing = happened<move_happening::measurements_missing>;
using back = happened<move_happening::measurements_back>;
using reached = happened<move_happening::cap_reached>;
using raised = happened<move_happening::cap_raised>;
using over = happened<move_happening::watch_over>;
using fault = happened<move_happening::fault_seen>;

/// Describes the states and what leads from one to the next.
class lifecycle_def : public boost::msm::front::state_machine_def<lifecycle_def>
{
public:
    /// Notes the phase when a state is entered.
    template <move_phase Phase>
    struct phase_state : boost::msm::front::state<>
    {
        template <class Event, class Machine>
        void on_entry(Event const&, Machine& it)
        {
            it.phase = Phase;
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
    void go_on(Event const&)
    {
        actions_.go_on();
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
    void take_back(Event const&)
    {
        actions_.take_back();
    }

    using self = lifecycle_def;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        a_row<stepping, due,     stepping,    &self::step_up<due>>,
        a_row<stepping, missing, held,        &self::hold<missing>>,
        a_row<stepping, reached, watching,    &self::watch<reached>>,
        a_row<stepping, fault,   taking_back, &self::take_back<fault>>,
        a_row<held,     back,    stepping,    &self::go_on<back>>,
        a_row<held,     reached, watching,    &self::watch<reached>>,
        a_row<held,     fault,   taking_back, &self::take_back<fault>>,
        a_row<watching, raised,  stepping,    &self::go_on<raised>>,
        a_row<watching, over,    finishing,   &self::finish<over>>,
        a_row<watching, fault,   taking_back, &self::take_back<fault>>,
        a_row<finishing, fault,  taking_back, &self::take_back<fault>>
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

    template <move_happening What>
    static void process(machine& it)
    {
        it.process_event(happened<What>{});
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

void move_lifecycle::process(move_happening what)
{
    static constexpr std::array table{&machine::process<move_happening::step_due>,
                                      &machine::process<move_happening::measurements_missing>,
                                      &machine::process<move_happening::measurements_back>,
                                      &machine::process<move_happening::cap_reached>,
                                      &machine::process<move_happening::cap_raised>,
                                      &machine::process<move_happening::watch_over>,
                                      &machine::process<move_happening::fault_seen>};
    table.at(static_cast<std::size_t>(what))(*machine_);
}

move_phase move_lifecycle::phase() const
{
    return machine_->phase;
}

} // namespace mulberryrudder::control
