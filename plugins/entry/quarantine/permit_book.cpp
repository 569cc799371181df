#include "permit_book.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

void permit_book::begin(instant now)
{
    if (!grants_from_)
        grants_from_ = now + config_.longest_run;
}

bool permit_book::grant(digest const& fingerprint, request_id holder, instant deadline, instant now)
{
    if (!grants_from_ || now < *grants_from_)
        return false;
    expire(now);
    auto const until = std::min(deadline, now + span(config_.longest_run));
    auto const [it, added] = permits_.try_emplace(fingerprint, permit{holder, until});
    return added || it->second.holder == holder;
}

void permit_book::give_back(digest const& fingerprint, request_id holder)
{
    auto const it = permits_.find(fingerprint);
    if (it != permits_.end() && it->second.holder == holder)
        permits_.erase(it);
}

void permit_book::expire(instant now)
{
    std::erase_if(permits_, [now](auto const& it) { return it.second.until <= now; });
}

} // namespace mulberryrudder::entry
