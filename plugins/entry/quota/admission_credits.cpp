#include "admission_credits.hpp"

namespace mulberryrudder::entry
{

void admission_credits::add(requests count, instant deadline)
{
    if (count > requests())
        lots_.push_back({.count = count, .deadline = deadline});
}

bool admission_credits::take(instant now)
{
    expire(now);
    if (lots_.empty())
        return false;
    auto& oldest = lots_.front();
    oldest.count -= requests(1);
    if (oldest.count == requests())
        lots_.pop_front();
    return true;
}

requests admission_credits::left(instant now)
{
    expire(now);
    requests out;
    for (auto const& it : lots_)
        out += it.count;
    return out;
}

void admission_credits::expire(instant now)
{
    while (!lots_.empty() && lots_.front().deadline <= now)
        lots_.pop_front();
}

} // namespace mulberryrudder::entry
