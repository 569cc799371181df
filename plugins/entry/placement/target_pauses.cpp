#include "target_pauses.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Limit of the pauses that are kept beside those of listed targets; exceeds the number of
/// targets that a fleet lists.
constexpr std::size_t max_pauses = 4096;

} // namespace

void target_pauses::record(target_id const& id, start_id start, milliseconds pause, instant now)
{
    auto const end = now + std::min(pause, max_pause_);
    auto const [position, added] = pauses_.try_emplace(id, pause_state{.start = start, .end = end});
    auto& known = position->second;
    if (known.start == start)
        known.end = std::max(known.end, end);
    else if (known.start < start)
        known = {.start = start, .end = end};
}

instant target_pauses::end_of(target_id const& id, start_id start, instant now) const
{
    auto const it = pauses_.find(id);
    return it == pauses_.end() || it->second.start != start ? now : it->second.end;
}

void target_pauses::expire(std::map<target_id, listed_target> const& listed, instant now)
{
    std::erase_if(pauses_, [now](auto const& it) { return it.second.end <= now; });
    if (pauses_.size() > max_pauses)
        std::erase_if(pauses_, [&](auto const& it) { return !listed.contains(it.first); });
}

} // namespace mulberryrudder::entry
