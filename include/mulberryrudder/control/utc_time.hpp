#ifndef MULBERRYRUDDER_CONTROL_UTC_TIME_HPP
#define MULBERRYRUDDER_CONTROL_UTC_TIME_HPP

#include <mulberryrudder/core/strong.hpp>

#include <cstdint>

namespace mulberryrudder::control
{

/// A point of wall-clock time: microseconds since the Unix epoch, UTC. Unlike
/// `instant` it means the same on every instance and after a restart.
using utc_time = strong_id<struct utc_time_tag, std::int64_t>;

} // namespace mulberryrudder::control

#endif
