#include <mulberryrudder/kernel/waker.hpp>

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace mulberryrudder::kernel
{

waker::waker() : descriptor_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (descriptor_ < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

waker::~waker()
{
    ::close(descriptor_);
}

void waker::notify() noexcept
{
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (!armed_.load(std::memory_order_relaxed))
        return;
    if (armed_.exchange(false, std::memory_order_acq_rel))
        wake();
}

void waker::wake() noexcept
{
    std::uint64_t const one = 1;
    [[maybe_unused]] auto const n = ::write(descriptor_, &one, sizeof one);
}

void waker::arm() noexcept
{
    armed_.store(true, std::memory_order_relaxed);
    std::atomic_thread_fence(std::memory_order_seq_cst);
}

void waker::consume() noexcept
{
    std::uint64_t n = 0;
    [[maybe_unused]] auto const got = ::read(descriptor_, &n, sizeof n);
}

} // namespace mulberryrudder::kernel
