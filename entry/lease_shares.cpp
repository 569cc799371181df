#include <mulberryrudder/entry/lease_shares.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

void lease_shares::learn(sharing newest, instant now, span valid_for)
{
    expire(now);
    // Others may have grown since this instance's last lease lapsed.
    if (now >= lapses_at_)
        newest_ = {};
    lapses_at_ = now + valid_for;
    if (newest == newest_)
        return;
    former_.push_back({newest_, now + valid_for});
    newest_ = newest;
}

void lease_shares::expire(instant now)
{
    std::erase_if(former_, [now](former const& it) { return it.until <= now; });
}

std::int64_t lease_shares::part_of(std::int64_t whole, std::uint64_t salt) const
{
    auto least = newest_.count;
    auto most = newest_.count;
    for (auto const& it : former_)
    {
        least = std::min(least, it.what.count);
        most = std::max(most, it.what.count);
    }
    if (least == 0)
        return 0;
    auto const count = static_cast<std::int64_t>(most);
    if (!former_.empty())
        return whole / count;
    auto const place = static_cast<std::int64_t>((newest_.rank + salt) % most);
    return whole / count + (place < whole % count ? 1 : 0);
}

} // namespace mulberryrudder::entry
