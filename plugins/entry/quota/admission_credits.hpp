#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_ADMISSION_CREDITS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_ADMISSION_CREDITS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <deque>

namespace mulberryrudder::entry
{

/// Requests of one customer that control admitted before they arrived, each for a limited time.
///
/// Thread safety: one owner.
class admission_credits
{
public:
    /// Adds requests that may be admitted before `deadline`. Precondition: no earlier call had a
    /// later deadline.
    void add(requests count, instant deadline);

    /// Admits one request by the credit that expires first; returns false if there is none.
    bool take(instant now);

    /// Returns how many requests may be admitted at this time.
    requests left(instant now);

private:
    struct lot
    {
        requests count;
        instant deadline;
    };

    void expire(instant now);

    std::deque<lot> lots_; ///< The earliest deadline first.
};

} // namespace mulberryrudder::entry

#endif
