#include "pacing.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

per_mille next_share(per_mille share, per_mille cap, moves_settings const& config)
{
    return std::min(std::max(share + share, config.first_share), cap);
}

std::int64_t remaining_steps(per_mille share, per_mille cap, moves_settings const& config)
{
    std::int64_t n = 0;
    for (; share < cap; share = next_share(share, cap, config))
        ++n;
    return n;
}

instant step_due(per_mille share, per_mille cap, instant last_step, instant deadline,
                 moves_settings const& config)
{
    // The first step is due at once: there is no earlier share to measure.
    if (share == per_mille{})
        return last_step;
    auto const intervals = remaining_steps(share, cap, config) + 1;
    auto const interval = (deadline - last_step) / intervals;
    return last_step + std::clamp<span>(interval, config.min_dwell, config.max_dwell);
}

} // namespace mulberryrudder::control
