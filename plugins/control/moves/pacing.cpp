#include "pacing.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

per_mille next_share(per_mille share, per_mille cap, moves_settings const& with)
{
    return std::min(std::max(share + share, with.first_share), cap);
}

std::int64_t steps_left(per_mille share, per_mille cap, moves_settings const& with)
{
    std::int64_t n = 0;
    for (; share < cap; share = next_share(share, cap, with))
        ++n;
    return n;
}

instant step_due(per_mille share, per_mille cap, instant stepped, instant deadline,
                 moves_settings const& with)
{
    // The first step has nothing to wait for.
    if (share == per_mille{})
        return stepped;
    auto const parts = steps_left(share, cap, with) + 1;
    auto const even = (deadline - stepped) / parts;
    return stepped + std::clamp<span>(even, with.least_dwell, with.most_dwell);
}

} // namespace mulberryrudder::control
