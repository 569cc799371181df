#ifndef MULBERRYRUDDER_CORE_EXPIRING_REQUESTS_HPP
#define MULBERRYRUDDER_CORE_EXPIRING_REQUESTS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <algorithm>
#include <deque>

namespace mulberryrudder
{

/// Counts requests, each until a deadline.
///
/// Thread safety: one owner.
class expiring_requests
{
public:
    /// Adds requests until `deadline`. Precondition: no earlier call had a later deadline.
    void add(requests count, instant deadline)
    {
        if (count > requests())
            lots_.push_back({.count = count, .deadline = deadline});
    }

    /// Removes up to `most` requests, those that expire first; returns how many.
    requests take_up_to(requests most, instant now)
    {
        expire(now);
        auto missing = most;
        while (missing > requests() && !lots_.empty())
        {
            auto& oldest = lots_.front();
            auto const taken = std::min(oldest.count, missing);
            oldest.count -= taken;
            missing -= taken;
            if (oldest.count == requests())
                lots_.pop_front();
        }
        return most - missing;
    }

    /// Returns how many requests there are whose deadline has not passed.
    requests left(instant now)
    {
        expire(now);
        requests out;
        for (auto const& it : lots_)
            out += it.count;
        return out;
    }

private:
    struct lot
    {
        requests count;
        instant deadline;
    };

    void expire(instant now)
    {
        while (!lots_.empty() && lots_.front().deadline <= now)
            lots_.pop_front();
    }

    std::deque<lot> lots_; ///< The earliest deadline first.
};

} // namespace mulberryrudder

#endif
