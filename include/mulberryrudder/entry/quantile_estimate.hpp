#ifndef MULBERRYRUDDER_ENTRY_QUANTILE_ESTIMATE_HPP
#define MULBERRYRUDDER_ENTRY_QUANTILE_ESTIMATE_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

/// Follows one quantile of a stream of times by stochastic approximation (Robbins
/// and Monro 1951) with steps in proportion to the estimate, so that it needs no
/// memory of samples and forgets old ones.
///
/// Thread safety: one owner.
class quantile_estimate
{
public:
    explicit quantile_estimate(per_mille which) : which_(which) {}

    void add(span sample)
    {
        if (value_ == span(0))
            value_ = sample;
        auto const stride = std::max<span::rep>(value_.count() / 16, 1);
        auto const up = sample > value_ ? which_ : which_ - whole_share;
        auto const moved = value_.count() * 1000 + stride * up.count();
        value_ = span(std::max<span::rep>(moved / 1000, 1));
    }

    /// Returns the estimate; zero before the first sample.
    span value() const { return value_; }

private:
    per_mille which_;
    span value_{0};
};

} // namespace mulberryrudder::entry

#endif
