#include "admission_bound.hpp"

#include <algorithm>
#include <cstdint>

namespace mulberryrudder::test
{

namespace
{

constexpr std::int64_t parts_per_token = 1'000'000;

/// A limit at a time: the largest of those that hold or held until `settle` ago.
limit_change limit_at(instant when, std::vector<limit_change> const& limits, span settle)
{
    limit_change out{.from = when};
    for (std::size_t n = 0; n != limits.size(); ++n)
    {
        bool const begun = limits[n].from <= when;
        bool const over = n + 1 < limits.size() && limits[n + 1].from + settle <= when;
        if (!begun || over)
            continue;
        out.rate = std::max(out.rate, limits[n].rate);
        out.burst = std::max(out.burst, limits[n].burst);
    }
    return out;
}

} // namespace

millitokens worst_excess(std::vector<instant> const& admitted,
                         std::vector<limit_change> const& limits, span settle)
{
    // An ideal bucket that may go below zero: its lowest level is the excess. It is
    // the maximum over all intervals of admitted - rate * t - burst.
    std::int64_t level = 0;
    std::int64_t worst = INT64_MIN;
    instant before{};
    bool first = true;
    for (auto const when : admitted)
    {
        auto const limit = limit_at(when, limits, settle);
        auto const burst = limit.burst.count() * parts_per_token;
        if (first)
            level = burst;
        // Steps of a millisecond at most would change the sum by rounding only.
        auto const earlier = limit_at(before, limits, settle);
        auto const rate = first ? limit.rate : std::max(limit.rate, earlier.rate);
        level = std::min(burst, level + rate.count() * (when - before).count());
        level -= request_cost.count() * parts_per_token;
        worst = std::max(worst, -level);
        before = when;
        first = false;
    }
    return millitokens(worst == INT64_MIN ? worst : worst / parts_per_token);
}

} // namespace mulberryrudder::test
