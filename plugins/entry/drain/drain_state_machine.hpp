#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_DRAIN_DRAIN_STATE_MACHINE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_DRAIN_DRAIN_STATE_MACHINE_HPP

#include <memory>

namespace mulberryrudder::entry
{

/// Phases of a drain or planned stop.
enum class drain_phase
{
    serving,
    drained,  ///< Drained by an operator; still serves requests and can return to `serving`.
    winding,  ///< Stopping; callers may still use an earlier answer or an open connection.
    closing,  ///< The grace period is over; idle connections are closed.
    completed ///< No request is unfinished; the process may exit.
};

/// Tracks the phase of an instance during a drain or planned stop (Boost.MSM state
/// machine). A drain can be withdrawn; a stop is final. An event that the current phase
/// does not handle is ignored.
///
/// Thread safety: one owner.
class drain_state_machine
{
public:
    drain_state_machine();
    ~drain_state_machine();
    drain_state_machine(drain_state_machine const&) = delete;
    drain_state_machine& operator=(drain_state_machine const&) = delete;

    drain_phase phase() const;

    void drain_ordered();
    void drain_withdrawn();
    void stop_requested();
    void grace_period_ended();
    void requests_finished();

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::entry

#endif
