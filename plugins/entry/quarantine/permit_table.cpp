#include "permit_table.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

void permit_table::start(instant now)
{
    if (!grants_from_)
        grants_from_ = now + config_.max_run_time;
}

bool permit_table::grant(digest const& fingerprint, request_id holder, instant deadline,
                         instant now)
{
    if (!grants_from_ || now < *grants_from_)
        return false;
    expire(now);
    auto const expires_at = std::min(deadline, now + span(config_.max_run_time));
    auto const [it, added] = permits_.try_emplace(fingerprint, permit{holder, expires_at});
    return added || it->second.holder == holder;
}

void permit_table::release(digest const& fingerprint, request_id holder)
{
    auto const it = permits_.find(fingerprint);
    if (it != permits_.end() && it->second.holder == holder)
        permits_.erase(it);
}

void permit_table::expire(instant now)
{
    std::erase_if(permits_, [now](auto const& it) { return it.second.expires_at <= now; });
}

} // namespace mulberryrudder::entry
