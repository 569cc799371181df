#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_RATE_LEDGER_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_RATE_LEDGER_HPP

#include "rate_account.hpp"

#include <mulberryrudder/control/lease_part.hpp>

#include <map>
#include <memory>
#include <set>

namespace mulberryrudder::control
{

/// Keeps the rate accounts of all customers and gives the entries their slices.
///
/// Thread safety: the decision core's thread.
class rate_ledger final : public lease_part
{
public:
    explicit rate_ledger(ledger_settings const& settings) : settings_(settings) {}

    /// Puts a configuration's rates in force; a customer that is gone keeps an
    /// account of rate zero until its slices have ended.
    void configure(instant now, std::shared_ptr<fleet_config const> const& config);

    void lead(instant now, instant settled) override;
    void follow() override;
    void grant(messages::renew_request const& asked, instant until, context& with,
               messages::lease_grant& out) override;
    void restarted(instance_id entry, instant now) override;
    void lapsed(instance_id entry, instant now) override;

    /// Lends tokens of a customer; zero if it is unknown or has none left.
    millitokens lend(instant now, instance_id entry, messages::borrow_request const& asked);

    /// Returns a customer's account, or null; for checks.
    rate_account const* find(customer_id const& customer) const;

private:
    /// Makes the account of each customer, so that its bucket fills from now on.
    void make_accounts(instant now);
    rate_account* account_of(customer_id const& customer, instant now);
    std::set<customer_id> report(messages::renew_request const& asked, instant now);

    ledger_settings const& settings_;
    std::shared_ptr<fleet_config const> config_ = std::make_shared<fleet_config const>();
    instant settled_;
    std::map<customer_id, rate_account> accounts_;
    std::map<instance_id, std::set<customer_id>> held_; ///< Customers of which an entry has a part.
};

} // namespace mulberryrudder::control

#endif
