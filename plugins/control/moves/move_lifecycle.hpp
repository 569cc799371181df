#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVE_LIFECYCLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVE_LIFECYCLE_HPP

#include <memory>
#include <string_view>

namespace mulberryrudder::control
{

/// The phases of a move, the gradual shift of a route's requests to a new version.
enum class move_phase
{
    stepping,   ///< The new version's share grows step by step up to the cap.
    held,       ///< Measurements of the new version are missing: no step up.
    watching,   ///< The share is at the cap; the move waits for late faults.
    finishing,  ///< The new version passed; the move is to be ended as done.
    taking_back ///< A fault was detected; the move is to be rolled back.
};

/// Returns the phase's name as reports show it.
std::string_view to_string(move_phase phase);

/// Actions that a move performs at the transitions of its life cycle.
class move_actions
{
public:
    virtual ~move_actions() = default;

    virtual void step_up() = 0;
    virtual void hold() = 0;
    virtual void resume() = 0;
    virtual void watch() = 0;
    virtual void finish() = 0;
    virtual void roll_back() = 0;
};

/// Conditions that may trigger a transition.
enum class move_trigger
{
    step_due,
    measurements_missing,
    measurements_current,
    cap_reached,
    below_cap,
    watch_over,
    fault_detected
};

/// The life cycle of a move, as a state machine of Boost.MSM.
///
/// Thread safety: one owner.
class move_lifecycle
{
public:
    /// `actions` must outlive the object.
    explicit move_lifecycle(move_actions& actions);
    ~move_lifecycle();

    /// Performs the transition of the current phase for this trigger, with its action. A
    /// trigger without a transition in this phase is ignored.
    void process(move_trigger trigger);
    move_phase phase() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::control

#endif
