#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_QUOTA_QUOTA_LEDGER_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_QUOTA_QUOTA_LEDGER_HPP

#include <mulberryrudder/core/expiring_requests.hpp>
#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::control
{

/// Determines what a bucket may hold when a ledger begins to admit from it.
///
/// Thread safety: any thread.
class opening_balance
{
public:
    virtual ~opening_balance() = default;

    /// Returns the most tokens of a customer's bucket, which has its rate and burst.
    virtual millitokens of(customer_id const& customer, token_bucket const& bucket) const = 0;
};

/// For a leader: the one before it may just have admitted all that the rates allowed.
class balance_after_a_leader final : public opening_balance
{
public:
    millitokens of(customer_id const&, token_bucket const& bucket) const override;
};

/// For an instance whose leader stopped answering: a customer that had used up less than half of
/// what it may send at once, by the leader's last answer, has the other half left.
class balance_beside_a_leader final : public opening_balance
{
public:
    /// `pressed` are the customers that had used up more; nothing if the leader's last answer is
    /// missing or old.
    explicit balance_beside_a_leader(std::optional<std::set<customer_id>> pressed)
        : pressed_(std::move(pressed))
    {
    }

    millitokens of(customer_id const& customer, token_bucket const& bucket) const override;

private:
    std::optional<std::set<customer_id>> pressed_;
};

/// Holds the rate of each customer, or a part of it, from which a control instance admits requests
/// for all entries that ask it.
///
/// Handles customers whose requests come from many places, a few to each entry instance. Split
/// over hundreds of entries, a rate leaves each of them less than one request, and a customer
/// that stays well below its rate is refused by chance.
///
/// Thread safety: one owner.
class quota_ledger
{
public:
    /// `pooled` are the requests beyond a customer's burst that may be admitted at once. `began` is
    /// when this instance began to lead.
    quota_ledger(requests pooled, instant began);

    /// Begins anew: each bucket keeps at most its opening balance, and a new one starts with it.
    /// Precondition: `opening` is not null.
    void reopen(std::unique_ptr<opening_balance const> opening, instant now);

    /// Admits up to `wanted` requests from a part of the customer's rate; returns how many.
    /// Precondition: the customer has a rate.
    requests admit(plan_customer const& customer, requests wanted, instant now,
                   per_mille part = whole_share);

    /// Admits up to `expected` requests that may come until `deadline`, from the upper third of
    /// what the customer may send at once; returns how many. The rest stays for requests that wait.
    /// Until they have come or expired, the bucket holds as much less. Preconditions: the customer
    /// has a rate, and no earlier call had a later deadline.
    requests admit_ahead(plan_customer const& customer, requests expected, instant deadline,
                         instant now);

    /// Removes requests that have come from those that were admitted ahead.
    void settle_ahead(customer_id const& customer, requests used, instant now);

    /// Takes requests that were admitted elsewhere from the customer's bucket. It may owe what it
    /// brings in a second. What was admitted before the ledger began is not taken: the opening
    /// balance allows for it. Precondition: the customer has a rate.
    void charge(plan_customer const& customer, requests spent, instant now);

    /// Returns the time until another request of the customer is admitted, as of the last call of
    /// admit() for it.
    milliseconds time_until_next(customer_id const& customer) const;

    /// Returns the customers that used up more than half of what they may send at once. The lists
    /// are short: customers within their rates are not among them.
    std::vector<customer_id> pressed_customers(instant now);

private:
    struct account
    {
        token_bucket bucket;
        expiring_requests ahead; ///< Admitted, and not known to have come.
        millitokens most;        ///< What the customer may send at once.
    };

    void reshape(account& it, plan_customer const& customer, per_mille part, instant now) const;
    account& account_of(plan_customer const& customer, per_mille part, instant now);

    requests pooled_;
    std::unique_ptr<opening_balance const> opening_;
    instant began_;
    std::map<customer_id, account> accounts_;
};

} // namespace mulberryrudder::control

#endif
