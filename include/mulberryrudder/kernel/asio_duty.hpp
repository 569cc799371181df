#ifndef MULBERRYRUDDER_KERNEL_ASIO_DUTY_HPP
#define MULBERRYRUDDER_KERNEL_ASIO_DUTY_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/duty.hpp>
#include <mulberryrudder/kernel/outbox.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace mulberryrudder::kernel
{

/// Runs a duty on an Asio loop that also wakes for the duty's rings. It sleeps
/// in the operating system whenever there is nothing to do.
///
/// Thread safety: stop() and prepare_stop() from any thread, the rest as for duty.
class asio_duty : public duty
{
public:
    asio_duty(duty_name name, duty_parts const& parts);
    ~asio_duty() override;

    duty_name name() const override { return name_; }
    void connect() override {}
    void run() override;
    void stop() override;

protected:
    /// Takes messages from the duty's rings, at most a batch of them; it is called
    /// again at once while a ring is readable. Runs on the duty's thread.
    virtual void take_messages() = 0;

    /// Sets up timers and first reads. Runs on the duty's thread before the loop.
    virtual void started() {}

    /// Calls `work` on the duty's thread, every `period` from now on.
    void run_every(span period, std::function<void()> const& work);

    /// Calls `work` on the duty's thread once, `delay` from now on.
    void run_once(span delay, std::function<void()> const& work);

    /// Sends what an outbox keeps, soon and again until its ring has taken all of it. Does
    /// nothing if it keeps nothing. Precondition: the outbox lives as long as the loop.
    void flush_soon(outbox_base& it);

    boost::asio::io_context& loop() { return loop_; }
    duty_parts const& parts() const { return parts_; }
    event_sink& events() { return events_; }

private:
    void wait_for_wake();
    void drain_rings();
    bool any_ring_readable() const;

    duty_name name_;
    duty_parts parts_;
    ring_event_sink events_;
    boost::asio::io_context loop_{1};
    std::vector<ring_base const*> const& inbox_; ///< Looked up once: the wiring is not locked.
    waker& waker_;
    boost::asio::posix::stream_descriptor wake_descriptor_;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> timers_;
    std::set<outbox_base*> flushing_; ///< Those that a timer is set for.
};

} // namespace mulberryrudder::kernel

#endif
