#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVE_LIFECYCLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVE_LIFECYCLE_HPP

#include <memory>
#include <string_view>

namespace mulberryrudder::control
{

/// Where a move is in its life.
enum class move_phase
{
    stepping,
    held,     ///< Measurements are missing: no step up.
    watching, ///< The share is at the cap; late faults are looked for.
    finishing,
    taking_back
};

/// Returns the phase's name as it stands in reports.
std::string_view to_string(move_phase phase);

/// What a move does at the changes of its life cycle.
class move_actions
{
public:
    virtual ~move_actions() = default;

    virtual void step_up() = 0;
    virtual void hold() = 0;
    virtual void go_on() = 0;
    virtual void watch() = 0;
    virtual void finish() = 0;
    virtual void take_back() = 0;
};

/// What happens to a move.
enum class move_happening
{
    step_due,
    measurements_missing,
    measurements_back,
    cap_reached,
    cap_raised,
    watch_over,
    fault_seen
};

/// The life cycle of a move, as a state machine of Boost.MSM. A happening that
/// does not fit the phase is ignored.
///
/// Thread safety: one owner.
class move_lifecycle
{
public:
    /// `actions` must outlive the object.
    explicit move_lifecycle(move_actions& actions);
    ~move_lifecycle();

    void process(move_happening what);
    move_phase phase() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::control

#endif
