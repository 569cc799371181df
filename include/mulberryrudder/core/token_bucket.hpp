#ifndef MULBERRYRUDDER_CORE_TOKEN_BUCKET_HPP
#define MULBERRYRUDDER_CORE_TOKEN_BUCKET_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <algorithm>
#include <cstdint>

namespace mulberryrudder
{

/// Counts tokens that accrue at a rate up to a burst. It starts empty, so that a
/// new bucket makes no token that was not confirmed elsewhere.
///
/// Thread safety: one owner.
class token_bucket
{
public:
    explicit token_bucket(instant now = {}) : updated_(now) {}

    millitokens_per_second rate() const noexcept { return rate_; }
    millitokens burst() const noexcept { return burst_; }

    /// Returns the tokens at the last call of advance().
    millitokens tokens() const noexcept { return tokens_; }

    /// Lets tokens accrue until `now`; an earlier time changes nothing.
    void advance(instant now)
    {
        if (now <= updated_)
            return;
        auto const elapsed = std::min(now - updated_, longest_accrual);
        updated_ = now;
        auto const parts = rate_.count() * elapsed.count() + remainder_;
        tokens_ += millitokens(parts / parts_per_token);
        remainder_ = parts % parts_per_token;
        trim();
    }

    /// Changes rate and burst from `now` on; returns the tokens that no longer fit.
    millitokens reshape(instant now, millitokens_per_second rate, millitokens burst)
    {
        advance(now);
        rate_ = rate;
        burst_ = burst;
        return trim();
    }

    /// Takes the whole of `cost`, or nothing and returns false.
    bool take(millitokens cost)
    {
        if (tokens_ < cost)
            return false;
        tokens_ -= cost;
        return true;
    }

    /// Takes as much of `most` as there is.
    millitokens take_up_to(millitokens most)
    {
        auto const taken = std::max(std::min(most, tokens_), millitokens{});
        tokens_ -= taken;
        return taken;
    }

    /// Adds tokens, also above the burst; call trim() once the urgent ones are taken.
    void add(millitokens more) { tokens_ += more; }

    /// Drops what is above the burst and returns it.
    millitokens trim()
    {
        if (tokens_ <= burst_)
            return {};
        auto const cut = tokens_ - burst_;
        tokens_ = burst_;
        remainder_ = 0;
        return cut;
    }

private:
    /// Longer gaps count as this long, so that the product below cannot overflow.
    static constexpr span longest_accrual = seconds(1000);
    /// A rate is per second and a span in microseconds.
    static constexpr std::int64_t parts_per_token = 1'000'000;

    millitokens_per_second rate_;
    millitokens burst_;
    millitokens tokens_;
    std::int64_t remainder_ = 0;
    instant updated_;
};

} // namespace mulberryrudder

#endif
