#include "link_budget.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::int64_t microseconds_a_second = 1'000'000;

/// Time after which a link counts as idle; keeps the product below in range.
constexpr seconds longest_refill{10};

} // namespace

void link_budget::refill(bytes_per_second rate, instant now)
{
    auto const most = rate.count() * burst.count() / 1000;
    auto const since = std::min<span>(now - refilled_at_, longest_refill);
    auto const earned = rate.count() * since.count() / microseconds_a_second;
    // Keeps the time of what is less than a byte.
    if (earned == 0 && since < longest_refill)
        return;
    saved_ = std::min(byte_count(most), saved_ + byte_count(earned));
    refilled_at_ = now;
}

} // namespace mulberryrudder::entry
