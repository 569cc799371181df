#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_DEMAND_AVERAGE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_DEMAND_AVERAGE_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <cstdint>
#include <utility>

namespace mulberryrudder::entry
{

/// Moving average of the requests of one customer at this instance.
///
/// Thread safety: one owner.
class demand_average
{
public:
    /// Counts a request in the present window.
    void add() { ++count_; }

    /// Ends a window, of which half of the new average consists. Precondition: `length` is
    /// positive.
    void end_window(span length)
    {
        auto const newest = std::exchange(count_, 0) * 1'000'000'000 / length.count();
        average_ = millitokens_per_second((average_.count() + newest) / 2);
    }

    /// Returns the requests that are expected in a time, rounded down.
    requests expected_in(milliseconds duration) const
    {
        return requests(average_.count() * duration.count() / 1'000'000);
    }

private:
    std::int64_t count_ = 0; ///< In the present window.
    millitokens_per_second average_;
};

} // namespace mulberryrudder::entry

#endif
