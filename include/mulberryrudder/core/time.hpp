#ifndef MULBERRYRUDDER_CORE_TIME_HPP
#define MULBERRYRUDDER_CORE_TIME_HPP

#include <chrono>

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

/// Reads the machine's monotonic clock, for duties at the edge.
///
/// Thread safety: may be called from any thread.
inline instant monotonic_now()
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<span>(since));
}

} // namespace mulberryrudder

#endif
