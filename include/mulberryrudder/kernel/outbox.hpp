#ifndef MULBERRYRUDDER_KERNEL_OUTBOX_HPP
#define MULBERRYRUDDER_KERNEL_OUTBOX_HPP

#include <mulberryrudder/kernel/ring.hpp>

#include <deque>
#include <utility>

namespace mulberryrudder::kernel
{

/// The untyped side of an outbox, for an owner that has several.
class outbox_base
{
public:
    virtual ~outbox_base() = default;

    /// Sends what was kept, as far as the ring takes it.
    virtual void flush() = 0;
    /// Returns whether anything is kept.
    virtual bool blocked() const = 0;
};

/// Keeps, in order, what a full ring did not take, for messages that must not be
/// lost. The owner holds back its own inputs while blocked(), or bounds in
/// another way what it posts, and calls flush() from a timer.
///
/// Thread safety: the producing duty only.
template <class T>
class outbox final : public outbox_base
{
public:
    /// Precondition: the ring outlives the outbox.
    explicit outbox(ring<T>& to) : to_(to) {}

    /// Sends a message, or keeps it for flush().
    void post(T message)
    {
        kept_.push_back(std::move(message));
        flush();
    }

    void flush() override
    {
        while (!kept_.empty() && to_.try_push(std::move(kept_.front())))
            kept_.pop_front();
    }

    bool blocked() const override { return !kept_.empty(); }

private:
    ring<T>& to_;
    std::deque<T> kept_;
};

} // namespace mulberryrudder::kernel

#endif
