#ifndef MULBERRYRUDDER_CORE_TIME_HPP
#define MULBERRYRUDDER_CORE_TIME_HPP

#include <chrono>
#include <ctime>

namespace mulberryrudder
{

/// Tags points in time of an injected monotonic clock. It has no now(), so that
/// a decision cannot read the machine's clock by accident.
struct injected_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<injected_clock>;
    static constexpr bool is_steady = true;
};

/// A point on the process's monotonic clock. Points of two processes must not be
/// compared: what crosses the wire is the time that is left.
using instant = injected_clock::time_point;
/// A span of time; state holds deadlines (instant) and no spans.
using span = injected_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A deadline that never comes.
inline constexpr instant never = instant::max();

/// Reads the machine's monotonic clock, for duties at the edge. It goes on while the
/// machine is suspended, so that what was promised for a time ends by that time.
///
/// Thread safety: may be called from any thread.
inline instant monotonic_now()
{
    std::timespec now{};
    // Fails only for a clock that does not exist.
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<span>(seconds(now.tv_sec) +
                                                    std::chrono::nanoseconds(now.tv_nsec)));
}

/// Returns a point on the clock of timers, which stands still while the machine is
/// suspended.
///
/// Thread safety: may be called from any thread.
inline std::chrono::steady_clock::time_point on_steady_clock(instant when)
{
    return std::chrono::steady_clock::now() + (when - monotonic_now());
}

} // namespace mulberryrudder

#endif
