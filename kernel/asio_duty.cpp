#include <mulberryrudder/kernel/asio_duty.hpp>

#include <boost/asio/post.hpp>

#include <unistd.h>

namespace mulberryrudder::kernel
{

namespace
{

/// How soon a full ring is tried again.
constexpr milliseconds flush_delay{2};

/// Re-arms a periodic timer from its last expiry, so that the period does not drift.
void rearm(std::shared_ptr<boost::asio::steady_timer> const& timer, span period,
           std::function<void()> const& work)
{
    timer->async_wait(
        [timer, period, work](boost::system::error_code ec)
        {
            if (ec)
                return;
            work();
            auto const next = timer->expiry() + period;
            timer->expires_at(std::max(next, std::chrono::steady_clock::now()));
            rearm(timer, period, work);
        });
}

} // namespace

asio_duty::asio_duty(duty_name name, duty_parts const& parts)
    : name_(std::move(name)), parts_(parts), events_(name_, parts_),
      inbox_(parts_.links.inbox(name_)), waker_(parts_.links.waker_of(name_)),
      wake_descriptor_(loop_)
{
}

asio_duty::~asio_duty()
{
    // The wiring owns the descriptor, so it must not be closed here.
    if (wake_descriptor_.is_open())
        wake_descriptor_.release();
}

void asio_duty::run()
{
    wake_descriptor_.assign(waker_.descriptor());
    started();
    boost::asio::post(loop_, [this] { drain_rings(); });
    wait_for_wake();
    loop_.run();
}

void asio_duty::stop()
{
    loop_.stop();
}

void asio_duty::run_every(span period, std::function<void()> const& work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, period);
    timers_.push_back(timer);
    rearm(timer, period, work);
}

void asio_duty::run_once(span delay, std::function<void()> const& work)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(loop_, delay);
    timer->async_wait(
        [timer, work](boost::system::error_code ec)
        {
            if (!ec)
                work();
        });
}

void asio_duty::flush_soon(outbox_base& it)
{
    if (!it.blocked() || !flushing_.insert(&it).second)
        return;
    run_once(flush_delay,
             [this, &it]
             {
                 flushing_.erase(&it);
                 it.flush();
                 flush_soon(it);
             });
}

void asio_duty::wait_for_wake()
{
    wake_descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                [this](boost::system::error_code ec)
                                {
                                    if (ec)
                                        return;
                                    waker_.consume();
                                    drain_rings();
                                    wait_for_wake();
                                });
}

void asio_duty::drain_rings()
{
    take_messages();
    waker_.arm();
    // Other work of the loop gets its turn between two batches.
    if (any_ring_readable())
        boost::asio::post(loop_, [this] { drain_rings(); });
}

bool asio_duty::any_ring_readable() const
{
    for (auto const* const it : inbox_)
        if (it->readable())
            return true;
    return false;
}

} // namespace mulberryrudder::kernel
