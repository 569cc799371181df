#include <mulberryrudder/core/betting_test.hpp>

#include <algorithm>
#include <numeric>

namespace mulberryrudder
{

namespace
{

/// Observations after which the counts are halved.
constexpr std::uint64_t memory = 4000;
/// Observations that the prior belief in a reference without faults weighs.
constexpr double prior_weight = 20.0;
constexpr double tolerance = 0.02;
constexpr double most_tolerated = 0.6;

} // namespace

void reference_rate::add(std::uint64_t bad, std::uint64_t all)
{
    bad_ += bad;
    all_ += all;
    while (all_ > memory)
    {
        bad_ /= 2;
        all_ /= 2;
    }
}

double reference_rate::tolerated() const
{
    double const rate =
        (static_cast<double>(bad_) + 1.0) / (static_cast<double>(all_) + prior_weight);
    return std::min(2.0 * rate + tolerance, most_tolerated);
}

void betting_test::add(bool bad, double tolerated)
{
    double const outcome = bad ? 1.0 : 0.0;
    for (std::size_t n = 0; n != stakes.size(); ++n)
    {
        double const gain = 1.0 + stakes[n] / tolerated * (outcome - tolerated);
        capital_[n] = std::max(capital_[n], 1.0) * gain;
    }
    rejected_ = rejected_ || evidence() >= bound_;
}

void betting_test::add(std::uint64_t bad, std::uint64_t all, double tolerated)
{
    // Bresenham's rule spreads the bad outcomes evenly, since their order is unknown.
    std::uint64_t sum = 0;
    for (std::uint64_t n = 0; n != all; ++n)
    {
        sum += bad;
        bool const is_bad = sum >= all;
        if (is_bad)
            sum -= all;
        add(is_bad, tolerated);
    }
}

double betting_test::evidence() const
{
    double const sum = std::accumulate(capital_.begin(), capital_.end(), 0.0);
    return sum / static_cast<double>(capital_.size());
}

} // namespace mulberryrudder
