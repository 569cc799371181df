#ifndef MULBERRYRUDDER_KERNEL_RING_HPP
#define MULBERRYRUDDER_KERNEL_RING_HPP

#include <mulberryrudder/kernel/waker.hpp>

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace mulberryrudder::kernel
{

/// The untyped side of a ring, by which its consumer finds it empty or not.
class ring_base
{
public:
    virtual ~ring_base() = default;

    /// Returns whether the consumer finds a message. Consumer's thread only.
    virtual bool readable() const = 0;
};

/// A bounded queue from one duty to another (Boost.Lockfree). A full ring refuses
/// the push, and the producer must hold back or refuse its own caller: messages
/// are never dropped here.
///
/// Thread safety: push from the producing duty only, pop from the consuming duty only.
template <class T>
class ring final : public ring_base
{
public:
    /// Precondition: `consumer` outlives the ring.
    ring(std::size_t capacity, waker& consumer) : queue_(capacity), consumer_(consumer) {}

    ~ring() override
    {
        T* it = nullptr;
        while (queue_.pop(it))
            delete it;
    }
    ring(ring const&) = delete;
    ring& operator=(ring const&) = delete;

    /// Moves `value` into the ring and wakes the consumer. Returns false, with
    /// `value` untouched, if the ring is full.
    bool try_push(T&& value)
    {
        if (queue_.write_available() == 0)
            return false;
        auto boxed = std::make_unique<T>(std::move(value));
        queue_.push(boxed.get());
        [[maybe_unused]] auto const* const kept = boxed.release();
        consumer_.notify();
        return true;
    }

    /// Moves the oldest message into `out`; false if there is none.
    bool try_pop(T& out)
    {
        T* it = nullptr;
        if (!queue_.pop(it))
            return false;
        std::unique_ptr<T> const boxed(it);
        out = std::move(*boxed);
        return true;
    }

    bool readable() const override { return queue_.read_available() != 0; }

    /// Returns how many messages still fit. Producer's thread only.
    std::size_t room() const { return queue_.write_available(); }

private:
    boost::lockfree::spsc_queue<T*> queue_;
    waker& consumer_;
};

} // namespace mulberryrudder::kernel

#endif
