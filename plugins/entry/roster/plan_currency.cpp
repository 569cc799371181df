#include "plan_currency.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Time without an answer of a control instance that hears most others after which this instance is
/// cut off.
constexpr seconds max_silence{5};
/// A longer time between two ticks means that the process was not running.
constexpr seconds max_tick_gap{1};

} // namespace

span plan_currency::answer::round_trip(instant now) const
{
    return std::max(now - sent - held, span(0));
}

std::optional<instant> plan_currency::answer::confirmed_at() const
{
    if (!confirmed_age)
        return std::nullopt;
    return sent + held - *confirmed_age;
}

void plan_currency::record(answer const& arrived, instant now)
{
    if (!arrived.control_apart)
        record_heard(now);
    auto const confirmed_at = arrived.confirmed_at();
    if (arrived.round_trip(now) > limits_.max_round_trip)
        is_delayed_ = true;
    else if (confirmed_at && *confirmed_at + limits_.max_age >= now)
        is_delayed_ = false;
    // A confirmation from before the restart says nothing of the orders that it made uncertain.
    if (restart_heard_at_ && confirmed_at > restart_heard_at_)
        restart_heard_at_.reset();
    if (arrived.control_restarted)
        restart_heard_at_ = restart_heard_at_.value_or(now);
    if (confirmed_at)
        confirmed_at_ = std::max(confirmed_at_.value_or(*confirmed_at), *confirmed_at);
}

void plan_currency::record_heard(instant now)
{
    heard_until_ = now + max_silence;
}

void plan_currency::tick(instant now)
{
    if (was_paused(now))
    {
        is_delayed_ = true;
        // An answer may wait for this process.
        record_heard(now);
    }
    last_tick_ = now;
}

std::optional<span> plan_currency::age(instant now) const
{
    if (!confirmed_at_)
        return std::nullopt;
    return now - *confirmed_at_;
}

bool plan_currency::is_slow(instant now) const
{
    return (is_delayed_ && !is_cut_off(now)) || was_paused(now);
}

bool plan_currency::is_outdated(instant now) const
{
    if (confirmed_at_ && now <= *confirmed_at_ + limits_.max_age)
        return false;
    return awaits_leader(now) || (confirmed_at_ && is_slow(now));
}

bool plan_currency::awaits_leader(instant now) const
{
    return doubts_restart() && !is_cut_off(now);
}

bool plan_currency::was_paused(instant now) const
{
    return last_tick_ && now > *last_tick_ + max_tick_gap;
}

} // namespace mulberryrudder::entry
