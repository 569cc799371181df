#include "customer_slice.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Microseconds in the second that rates count by.
constexpr std::int64_t microseconds_per_second = 1'000'000;

millitokens half(millitokens whole)
{
    return millitokens(whole.count() / 2);
}

} // namespace

bool customer_slice::take(instant now)
{
    bucket_.advance(now);
    return bucket_.take(request_cost);
}

millitokens customer_slice::tokens(instant now)
{
    bucket_.advance(now);
    return bucket_.tokens();
}

void customer_slice::lend(instant now, millitokens more)
{
    bucket_.advance(now);
    bucket_.add(more);
}

millitokens customer_slice::usable_burst() const
{
    return ceiling_ ? std::min(slice_.burst, *ceiling_) : slice_.burst;
}

void customer_slice::grant(instant now, messages::rate_slice const& slice, sequence_id answers)
{
    if (handed_back_)
        return;
    room_ = std::max(room_, usable_burst());
    if (answers >= ceiling_until_)
        ceiling_.reset();
    slice_ = slice;
    bucket_.advance(now);
    bucket_.add(excess_);
    excess_ = bucket_.reshape(now, slice.rate, usable_burst());
    bucket_.add(slice.initial);
    bucket_.trim();
}

void customer_slice::lapse(instant now)
{
    bucket_.reshape(now, {}, {});
    slice_.rate = {};
    slice_.burst = {};
    excess_ = {};
    room_ = {};
}

millitokens customer_slice::surplus() const
{
    auto const half_full = half(usable_burst());
    auto const nearly_full = half_full + half(half_full);
    if (ceiling_ || bucket_.tokens() < nearly_full)
        return {};
    return bucket_.tokens() - half_full;
}

messages::customer_demand customer_slice::report(instant now, sequence_id carried_by, bool live)
{
    auto const elapsed = std::max<std::int64_t>((now - reported_).count(), 1000);
    messages::customer_demand out{
        .wanted = millitokens_per_second(arrived_.count() * microseconds_per_second / elapsed)};
    reported_ = now;
    arrived_ = {};
    if (!live)
        return out;
    bucket_.advance(now);
    out.held_rate = slice_.rate;
    out.held_burst = slice_.burst;
    out.returned = excess_ + bucket_.take_up_to(surplus());
    if (out.returned == millitokens{})
        return out;
    // The tokens on their way still count: the bucket must not fill their room again.
    ceiling_ = std::max(room_, usable_burst()) - out.returned;
    ceiling_until_ = carried_by;
    excess_ = {};
    room_ = {};
    bucket_.reshape(now, slice_.rate, usable_burst());
    return out;
}

void customer_slice::hand_back(instant now)
{
    handed_back_ = true;
    room_ = std::max(room_, usable_burst());
    slice_.rate = {};
    slice_.burst = {};
    excess_ += bucket_.reshape(now, {}, {});
}

} // namespace mulberryrudder::entry
