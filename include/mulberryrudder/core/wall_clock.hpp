#ifndef MULBERRYRUDDER_CORE_WALL_CLOCK_HPP
#define MULBERRYRUDDER_CORE_WALL_CLOCK_HPP

#include <mulberryrudder/core/time.hpp>

namespace mulberryrudder
{

/// Tells the time of day, for times that come from callers and
/// operators. A plug-in at the edge provides it; without one, as in tests on virtual time, the
/// decision clock itself counts as the time of day.
///
/// Thread safety: the decision core's thread.
class wall_clock
{
public:
    virtual ~wall_clock() = default;

    /// Returns the time since 1970-01-01T00:00:00Z.
    virtual milliseconds since_epoch() const = 0;
};

} // namespace mulberryrudder

#endif
