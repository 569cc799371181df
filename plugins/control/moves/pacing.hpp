#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_PACING_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_PACING_HPP

#include "moves_settings.hpp"

#include <mulberryrudder/core/time.hpp>

namespace mulberryrudder::control
{

/// Returns the share that follows `share`: at most twice as much, so that caches
/// which are cold for the new requests miss at most half of the time, and never
/// above the cap.
per_mille next_share(per_mille share, per_mille cap, moves_settings const& with);

/// Returns how many steps lead from `share` to the cap.
std::int64_t steps_left(per_mille share, per_mille cap, moves_settings const& with);

/// Returns when the step that follows `share` is due: the time up to the deadline
/// is divided evenly over the steps that are left and one part of reserve.
instant step_due(per_mille share, per_mille cap, instant stepped, instant deadline,
                 moves_settings const& with);

} // namespace mulberryrudder::control

#endif
