#ifndef MULBERRYRUDDER_KERNEL_DUTY_HPP
#define MULBERRYRUDDER_KERNEL_DUTY_HPP

#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>
#include <mulberryrudder/kernel/registry.hpp>
#include <mulberryrudder/kernel/settings.hpp>
#include <mulberryrudder/kernel/wiring.hpp>

#include <functional>
#include <memory>

namespace mulberryrudder::kernel
{

/// What the kernel gives to each duty of a process.
struct duty_parts
{
    settings const& config;
    counter_set& counters;
    wiring& links;
    /// Asks the process to end, for a duty that cannot go on. Any thread may call
    /// it; the code is the process's exit code, 0 after an orderly stop.
    std::function<void(int exit_code)> end_process;
};

/// One job of a process with a thread of its own. Duties share nothing but the
/// rings between them and the counters.
class duty
{
public:
    virtual ~duty() = default;

    virtual duty_name name() const = 0;

    /// Takes this duty's ends of the rings and its listening sockets. Called once,
    /// before any duty runs; throws std::exception if the process cannot start.
    virtual void connect() = 0;

    /// Does the job until stop() was called. Runs on the duty's own thread.
    virtual void run() = 0;

    /// Asks run() to return soon. Any thread.
    virtual void stop() = 0;

    /// Tells that the operator asked for a planned stop: finish the work and call
    /// end_process(0). Any thread; most duties have nothing to do.
    virtual void prepare_stop() {}
};

using duty_registry = registry<duty, duty_parts const&>;

/// Enters a duty; duties start in ascending order and stop in descending order.
template <class Duty>
using duty_registrar = registrar<duty, Duty, duty_parts const&>;

/// The duty to which all others send their events.
inline duty_name const log_duty_name{"log"};

/// Sends a duty's events through its ring to the log duty. If that ring is full
/// the event is counted as lost, since a log must not stop the decisions.
///
/// Thread safety: the duty's own thread.
class ring_event_sink final : public event_sink
{
public:
    ring_event_sink(duty_name const& from, duty_parts const& parts);
    void record(event_kind const& kind, std::vector<event_field> fields) override;

private:
    ring<event_record>& to_log_;
    counter_set& counters_;
};

} // namespace mulberryrudder::kernel

#endif
