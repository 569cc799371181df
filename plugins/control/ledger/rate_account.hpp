#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_RATE_ACCOUNT_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_RATE_ACCOUNT_HPP

#include "ledger_settings.hpp"
#include "outstanding.hpp"

#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <deque>
#include <map>

namespace mulberryrudder::control
{

/// A part of a customer's rate and burst.
struct rate_amount
{
    millitokens_per_second rate;
    millitokens burst;

    friend bool operator==(rate_amount const&, rate_amount const&) = default;
};

inline rate_amount largest(rate_amount const& a, rate_amount const& b)
{
    return {std::max(a.rate, b.rate), std::max(a.burst, b.burst)};
}

/// Divides one customer's rate and burst between the entries' slices and a bucket of
/// the ledger's own, which holds all that is not in slices and from which it lends.
///
/// Invariant: own tokens + bursts of all slices that may be in force + loans that may
/// be unused <= burst, and own rate + rates of those slices <= rate; except that both
/// are held to "does not grow" after the customer's rate or burst was lowered, until
/// the slices have followed.
///
/// Thread safety: one owner.
class rate_account
{
public:
    rate_account(ledger_settings const& settings, instant now, instant settled);

    /// Puts a configured rate and burst in force.
    void configure(instant now, rate_amount limit);

    /// Takes an entry's report of this customer in.
    void report(instant now, messages::renew_request const& from,
                messages::customer_demand const& demand);

    /// Decides the slice for the grant that answers `asked`.
    messages::rate_slice slice(instant now, messages::renew_request const& asked, instant until);

    /// Lends tokens; zero if there are none.
    millitokens lend(instant now, instance_id entry, messages::borrow_request const& asked);

    void restarted(instance_id entry, instant now);
    void lapsed(instance_id entry, instant now);

    /// Returns whether no entry holds or wants a part.
    bool unused() const { return holders_.empty(); }
    bool has(instance_id entry) const { return holders_.contains(entry); }

    /// Returns the sum of the slices that may be in force, for tests and checks.
    rate_amount exposed() const { return exposed_; }
    millitokens own_tokens() const { return own_.tokens(); }
    millitokens lent_out() const { return lent_out_; }

private:
    struct holder
    {
        outstanding<rate_amount> slices;
        rate_amount counted; ///< Its part of `exposed_`.
        millitokens_per_second wanted;
        rate_amount reported; ///< What it held by its last report.
        sequence_id last_loan;
        boot_id boot;
    };
    struct loan
    {
        instance_id entry;
        sequence_id sequence;
        instant until;
        millitokens amount;
    };

    void open(instant now);
    void recount(instant now, holder& it);
    void reshape(instant now);
    void settle_loans(instance_id entry, sequence_id settled);
    void expire_loans(instant now);
    void forget_wanted(holder& it);
    rate_amount target(holder const& it) const;
    rate_amount allowed(instant now, holder const& it, rate_amount target) const;
    millitokens move_tokens(instant now, millitokens grown);
    void check(rate_amount before) const;

    ledger_settings const& settings_;
    instant made_;
    instant settled_;   ///< Grants of former leaders may be in force until then.
    bool open_ = false; ///< The own bucket accrues; it does from `settled_` on.
    rate_amount limit_;
    rate_amount exposed_;
    millitokens lent_out_;
    millitokens_per_second wanted_;
    token_bucket own_;
    std::map<instance_id, holder> holders_;
    std::deque<loan> loans_;
};

} // namespace mulberryrudder::control

#endif
