#include "rate_account.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Weight of the newest report in the smoothed demand, as 1 / smoothing.
constexpr std::int64_t smoothing = 3;
/// A slice is at most this many times the entry's own demand.
constexpr std::int64_t most_headroom = 2;
/// Demand below one request in 100 s counts as none.
constexpr millitokens_per_second least_demand{10};

std::int64_t proportion(std::int64_t whole, std::int64_t part, std::int64_t sum)
{
    return sum <= 0 ? 0
                    : static_cast<std::int64_t>(static_cast<long double>(whole) *
                                                static_cast<long double>(part) /
                                                static_cast<long double>(sum));
}

template <class Quantity>
Quantity positive(Quantity it)
{
    return std::max(it, Quantity{});
}

} // namespace

rate_account::rate_account(ledger_settings const& settings, instant now, instant settled)
    : settings_(settings), made_(now), settled_(settled), own_(now)
{
}

void rate_account::check(rate_amount before) const
{
    auto const most = largest(before, limit_);
    check_invariant(exposed_.rate <= most.rate, "slices stay within the customer's rate");
    check_invariant(exposed_.burst <= most.burst, "slices stay within the customer's burst");
    check_invariant(own_.tokens() >= millitokens{}, "the ledger lends only what it has");
    check_invariant(own_.tokens() == millitokens{} ||
                        own_.tokens() + exposed_.burst + lent_out_ <= limit_.burst,
                    "tokens of a customer stay within its burst");
}

void rate_account::open(instant now)
{
    if (open_ || now < settled_)
        return;
    open_ = true;
    reshape(std::max(settled_, made_));
}

void rate_account::reshape(instant now)
{
    if (!open_)
        return;
    own_.reshape(now, positive(limit_.rate - exposed_.rate),
                 positive(limit_.burst - exposed_.burst - lent_out_));
}

void rate_account::recount(instant now, holder& it)
{
    open(now);
    own_.advance(now);
    auto const most = it.slices.most();
    exposed_.rate += most.rate - it.counted.rate;
    exposed_.burst += most.burst - it.counted.burst;
    it.counted = most;
    reshape(now);
}

void rate_account::configure(instant now, rate_amount limit)
{
    limit.rate -= part_of(limit.rate, settings_.clock_drift);
    if (limit == limit_)
        return;
    open(now);
    own_.advance(now);
    limit_ = limit;
    reshape(now);
}

void rate_account::report(instant now, messages::renew_request const& from,
                          messages::customer_demand const& demand)
{
    open(now);
    auto& it = holders_[from.self.id];
    it.reported = {demand.held_rate, demand.held_burst};
    forget_wanted(it);
    auto const step = (demand.wanted - it.wanted).count() / smoothing;
    it.wanted = it.wanted == millitokens_per_second{} ? demand.wanted
                                                      : it.wanted + millitokens_per_second(step);
    if (it.wanted < least_demand || from.stopping)
        it.wanted = {};
    wanted_ += it.wanted;
    expire_loans(now);
    it.slices.expire(now);
    it.slices.confirm(from.accepted);
    if (from.stopping)
        it.slices.clear();
    recount(now, it);
    own_.add(demand.returned);
    own_.trim();
}

void rate_account::forget_wanted(holder& it)
{
    wanted_ -= it.wanted;
}

rate_amount rate_account::target(holder const& it) const
{
    auto const rate = part_of(limit_.rate, settings_.leased_rate);
    auto const burst = part_of(limit_.burst, settings_.leased_burst);
    rate_amount out{
        millitokens_per_second(proportion(rate.count(), it.wanted.count(), wanted_.count())),
        millitokens(proportion(burst.count(), it.wanted.count(), wanted_.count()))};
    out.rate = std::min(out.rate, millitokens_per_second(it.wanted.count() * most_headroom));
    // A bucket that cannot hold one request's tokens would only waste its rate.
    return out.burst < request_cost ? rate_amount{} : out;
}

rate_amount rate_account::allowed(instant now, holder const& it, rate_amount target) const
{
    if (now < settled_)
        return {std::min(target.rate, it.reported.rate), std::min(target.burst, it.reported.burst)};
    auto const room = positive(limit_.burst - exposed_.burst - lent_out_);
    rate_amount out{std::min(target.rate, it.counted.rate + positive(limit_.rate - exposed_.rate)),
                    std::min(target.burst, it.counted.burst + room)};
    return out.burst < request_cost ? rate_amount{} : out;
}

millitokens rate_account::move_tokens(instant now, millitokens grown)
{
    own_.advance(now);
    if (grown <= millitokens{} || own_.burst() <= millitokens{})
        return {};
    auto const share =
        proportion(own_.tokens().count(), grown.count(), std::max(own_.burst(), grown).count());
    return own_.take_up_to(millitokens(share));
}

messages::rate_slice rate_account::slice(instant now, messages::renew_request const& asked,
                                         instant until)
{
    auto& it = holders_[asked.self.id];
    auto const before = exposed_;
    auto const granted = asked.stopping ? rate_amount{} : allowed(now, it, target(it));
    auto const grown = granted.burst - it.counted.burst;
    messages::rate_slice out{.rate = granted.rate, .burst = granted.burst};
    if (now >= settled_)
        out.initial = move_tokens(now, grown);
    it.slices.add(asked.sequence, until, granted);
    recount(now, it);
    if (now >= settled_)
        check(before);
    if (it.slices.empty() && it.wanted == millitokens_per_second{})
        holders_.erase(asked.self.id);
    return out;
}

void rate_account::settle_loans(instance_id entry, sequence_id settled)
{
    auto const done = [&](loan const& it) { return it.entry == entry && it.sequence <= settled; };
    for (auto const& it : loans_)
        if (done(it))
            lent_out_ -= it.amount;
    std::erase_if(loans_, done);
}

void rate_account::expire_loans(instant now)
{
    while (!loans_.empty() && loans_.front().until <= now)
    {
        lent_out_ -= loans_.front().amount;
        loans_.pop_front();
    }
}

millitokens rate_account::lend(instant now, instance_id entry,
                               messages::borrow_request const& asked)
{
    auto& it = holders_[entry];
    if (it.boot != asked.boot)
    {
        it.boot = asked.boot;
        it.last_loan = {};
    }
    if (asked.sequence <= it.last_loan)
        return {};
    it.last_loan = asked.sequence;
    open(now);
    own_.advance(now);
    settle_loans(entry, asked.settled);
    expire_loans(now);
    reshape(now);
    // Tokens in advance leave half of the bucket for requests that wait.
    auto const spare = millitokens(own_.tokens().count() / 2);
    auto const most =
        std::max(std::min(asked.needed, own_.tokens()), std::min(asked.wanted, spare));
    auto const lent = own_.take_up_to(most);
    if (lent == millitokens{})
        return lent;
    loans_.push_back({.entry = entry,
                      .sequence = asked.sequence,
                      .until = now + settings_.loan_time,
                      .amount = lent});
    lent_out_ += lent;
    reshape(now);
    check(exposed_);
    return lent;
}

void rate_account::restarted(instance_id entry, instant now)
{
    auto const found = holders_.find(entry);
    if (found == holders_.end())
        return;
    found->second.slices.orphan();
    recount(now, found->second);
}

void rate_account::lapsed(instance_id entry, instant now)
{
    auto const found = holders_.find(entry);
    if (found == holders_.end())
        return;
    found->second.slices.clear();
    forget_wanted(found->second);
    recount(now, found->second);
    holders_.erase(found);
}

} // namespace mulberryrudder::control
