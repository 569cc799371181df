#include "renewal_plan.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Doublings after which the wait is at its bound for any sane setting.
constexpr unsigned most_doublings = 8;

} // namespace

span renewal_plan::jittered(span longest, random_source& random) const
{
    std::uniform_int_distribution<span::rep> part(longest.count() / 2, longest.count());
    return span(part(random));
}

span renewal_plan::retry_wait() const
{
    span const grown = span(with_.retry_first) * (1U << std::min(failures_, most_doublings));
    return std::min(grown, span(with_.retry_most));
}

void renewal_plan::start(instant now, random_source& random)
{
    std::uniform_int_distribution<span::rep> part(0, span(with_.retry_first).count());
    next_ = now + span(part(random));
}

void renewal_plan::turn()
{
    position_ = (position_ + 1) % with_.control.size();
    leader_ = with_.control[position_];
    ++failures_;
}

void renewal_plan::turn_if_unanswered()
{
    if (awaiting_)
        turn();
    followed_hint_ = false;
}

void renewal_plan::sent(instant now, random_source& random)
{
    awaiting_ = true;
    last_sent_ = now;
    next_ = now + jittered(retry_wait(), random);
}

void renewal_plan::answered(instance_id by, random_source& random)
{
    leader_ = by;
    awaiting_ = false;
    failures_ = 0;
    followed_hint_ = false;
    // A tenth of jitter keeps renewals of many instances spread over the period.
    auto const period = span(with_.period);
    std::uniform_int_distribution<span::rep> part(0, period.count() / 10);
    next_ = last_sent_ + period - span(part(random));
}

void renewal_plan::redirected(std::optional<instance_id> leader, instant now, random_source& random)
{
    awaiting_ = false;
    if (leader && *leader != leader_ && !followed_hint_)
    {
        // Follows one hint at once; two instances that name each other must not loop.
        followed_hint_ = true;
        leader_ = *leader;
        next_ = now;
        return;
    }
    turn();
    next_ = now + jittered(retry_wait(), random);
}

} // namespace mulberryrudder::entry
