#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_PACING_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_PACING_HPP

#include "moves_settings.hpp"

#include <mulberryrudder/core/time.hpp>

namespace mulberryrudder::control
{

/// Returns the share of the step after `share`: the first share or twice `share`, and at
/// most the cap. Doubling bounds cache misses: at most half of the new version's requests
/// are ones for which its caches are cold.
per_mille next_share(per_mille share, per_mille cap, moves_settings const& config);

/// Returns the number of steps from `share` to the cap.
std::int64_t remaining_steps(per_mille share, per_mille cap, moves_settings const& config);

/// Returns when the step after `share` is due: the time from the last step to the deadline
/// is divided evenly over the remaining steps and one interval of reserve. The interval is
/// kept between the minimum and maximum dwell; the first step is due at once.
instant step_due(per_mille share, per_mille cap, instant last_step, instant deadline,
                 moves_settings const& config);

} // namespace mulberryrudder::control

#endif
