#include "quota_ledger.hpp"

#include <algorithm>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

/// Time whose requests a new leader may admit at once. Operators tolerate a tenth of what the rate
/// brings in their window of five seconds; the rest of it is left for requests that arrive late.
constexpr milliseconds initial_fill{100};
/// Time whose requests a bucket may owe.
constexpr seconds max_debt{1};
/// Time after the begin of a ledger in which entries still tell what they admitted before.
constexpr milliseconds untold_time{1000};

} // namespace

millitokens balance_after_a_leader::of(customer_id const&, token_bucket const& bucket) const
{
    return millitokens(bucket.rate().count() * initial_fill.count() / 1000);
}

millitokens balance_beside_a_leader::of(customer_id const& customer,
                                        token_bucket const& bucket) const
{
    if (!pressed_ || pressed_->contains(customer))
        return {};
    return millitokens(bucket.burst().count() / 2);
}

quota_ledger::quota_ledger(requests pooled, instant began)
    : pooled_(pooled), opening_(std::make_unique<balance_after_a_leader>()), began_(began)
{
}

void quota_ledger::reopen(std::unique_ptr<opening_balance const> opening, instant now)
{
    opening_ = std::move(opening);
    began_ = now;
    for (auto& [customer, it] : accounts_)
    {
        it.bucket.advance(now);
        it.bucket.take_up_to(it.bucket.tokens() - opening_->of(customer, it.bucket));
    }
}

void quota_ledger::reshape(account& it, plan_customer const& customer, per_mille part,
                           instant now) const
{
    auto const burst = customer.burst.count() + pooled_.count() * request_cost.count();
    // A bucket below one request would never admit one.
    it.most = std::max(millitokens(burst * part.count() / whole_share.count()), request_cost);
    auto const ahead = millitokens(it.ahead.left(now).count() * request_cost.count());
    it.bucket.reshape(
        now, millitokens_per_second(customer.rate.count() * part.count() / whole_share.count()),
        std::max(it.most - ahead, millitokens()));
}

quota_ledger::account& quota_ledger::account_of(plan_customer const& customer, per_mille part,
                                                instant now)
{
    auto const [found, added] =
        accounts_.try_emplace(customer.id, account{.bucket = token_bucket(began_)});
    auto& it = found->second;
    if (added)
    {
        reshape(it, customer, part, began_);
        it.bucket.add(opening_->of(customer.id, it.bucket));
    }
    reshape(it, customer, part, now);
    return it;
}

requests quota_ledger::admit(plan_customer const& customer, requests wanted, instant now,
                             per_mille part)
{
    auto& bucket = account_of(customer, part, now).bucket;
    auto const tokens = bucket.take_up_to(millitokens(wanted.count() * request_cost.count()));
    auto const admitted = tokens.count() / request_cost.count();
    bucket.add(tokens - millitokens(admitted * request_cost.count()));
    return requests(admitted);
}

requests quota_ledger::admit_ahead(plan_customer const& customer, requests expected,
                                   instant deadline, instant now)
{
    auto& it = account_of(customer, whole_share, now);
    auto const spare = it.bucket.tokens().count() - it.most.count() * 2 / 3;
    auto const admitted = std::clamp(requests(spare / request_cost.count()), requests(), expected);
    it.bucket.take_up_to(millitokens(admitted.count() * request_cost.count()));
    it.ahead.add(admitted, deadline);
    return admitted;
}

void quota_ledger::settle_ahead(customer_id const& customer, requests used, instant now)
{
    auto const found = accounts_.find(customer);
    if (found != accounts_.end())
        found->second.ahead.take_up_to(used, now);
}

void quota_ledger::charge(plan_customer const& customer, requests spent, instant now)
{
    if (now < began_ + untold_time)
        return;
    auto& bucket = account_of(customer, whole_share, now).bucket;
    auto const most = bucket.tokens().count() + customer.rate.count() * max_debt.count();
    auto const cost = std::min(spent.count() * request_cost.count(), most);
    bucket.add(millitokens(-std::max<std::int64_t>(cost, 0)));
}

std::vector<customer_id> quota_ledger::pressed_customers(instant now)
{
    std::vector<customer_id> out;
    for (auto& [id, it] : accounts_)
    {
        it.bucket.advance(now);
        if (it.bucket.tokens().count() * 2 < it.most.count())
            out.push_back(id);
    }
    return out;
}

milliseconds quota_ledger::time_until_next(customer_id const& customer) const
{
    auto const found = accounts_.find(customer);
    if (found == accounts_.end())
        return milliseconds(0);
    auto const& bucket = found->second.bucket;
    auto const missing = std::max((request_cost - bucket.tokens()).count(), std::int64_t{0});
    return milliseconds(missing * 1000 / std::max<std::int64_t>(bucket.rate().count(), 1));
}

} // namespace mulberryrudder::control
