#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_QUOTA_PART_LEDGER_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_QUOTA_PART_LEDGER_HPP

#include "quota_ledger.hpp"

#include <map>
#include <optional>
#include <set>

namespace mulberryrudder::control
{

/// Admits requests while no leader answers, from this instance's part of the rates and the parts
/// that other control instances lend it, and keeps account of them for the leader.
///
/// Thread safety: one owner.
class part_ledger
{
public:
    /// `pooled` are the requests beyond a customer's burst that all control instances together may
    /// admit at once.
    explicit part_ledger(requests pooled) : ledger_(pooled, instant()) {}

    /// Begins to admit after another instance did. `pressed` are the customers that had used up
    /// most of what they may send at once; nothing if that is not known, and then nothing of the
    /// bursts is left.
    void open(std::optional<std::set<customer_id>> pressed, instant now);

    /// Adds another instance's part of the rates for a limited time. A later call for the same
    /// lender replaces it.
    void lend(instance_id lender, per_mille part, instant now);

    /// Returns what there is of each rate, from 0 to whole_share.
    per_mille available(std::optional<per_mille> own_part, instant now) const;

    /// Admits up to `wanted` requests. Preconditions: the customer has a rate, and `part` is not 0.
    requests admit(plan_customer const& customer, requests wanted, per_mille part, instant now);

    /// Returns the time until another request of the customer is admitted, as of the last call of
    /// admit() for it.
    milliseconds time_until_next(customer_id const& customer) const
    {
        return ledger_.time_until_next(customer);
    }

    /// Removes the account of admitted requests and returns it.
    std::map<customer_id, requests> take_spent();
    /// Adds to that account what the leader was not told after all, or what entries admitted.
    void add_spent(std::map<customer_id, requests> const& untold);

private:
    struct loan
    {
        per_mille part;
        instant expiry;
    };

    quota_ledger ledger_;
    std::map<instance_id, loan> loans_;
    std::map<customer_id, requests> spent_;
};

} // namespace mulberryrudder::control

#endif
