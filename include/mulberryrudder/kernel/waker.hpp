#ifndef MULBERRYRUDDER_KERNEL_WAKER_HPP
#define MULBERRYRUDDER_KERNEL_WAKER_HPP

#include <atomic>

namespace mulberryrudder::kernel
{

/// Wakes one duty's thread through an eventfd. The duty arms the waker before it
/// sleeps; a producer pays for a system call only if the duty is armed, so a busy
/// duty is not signalled for each message.
///
/// Thread safety: notify() from any thread; the rest from the owning duty only.
class waker
{
public:
    waker();
    ~waker();
    waker(waker const&) = delete;
    waker& operator=(waker const&) = delete;

    /// Wakes the duty if it is armed. Call it after the message is in the ring.
    void notify() noexcept;

    /// Wakes the duty whether or not it is armed, for a stop.
    void wake() noexcept;

    /// Announces that the duty is about to sleep. The caller must look at its
    /// rings once more afterwards, and sleep only if all are empty.
    void arm() noexcept;

    /// Takes the signal from the eventfd. Call it after the descriptor was readable.
    void consume() noexcept;

    /// Returns the eventfd, to be polled for reading.
    int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_;
    std::atomic<bool> armed_{false};
};

} // namespace mulberryrudder::kernel

#endif
