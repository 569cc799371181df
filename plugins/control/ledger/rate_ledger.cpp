#include "rate_ledger.hpp"

namespace mulberryrudder::control
{

namespace
{

rate_amount limit_of(fleet_config const& config, customer_id const& customer)
{
    auto const it = config.customers.find(customer);
    return it == config.customers.end() ? rate_amount{}
                                        : rate_amount{it->second.rate, it->second.burst};
}

} // namespace

void rate_ledger::configure(instant now, std::shared_ptr<fleet_config const> const& config)
{
    if (config == config_)
        return;
    config_ = config;
    for (auto& [id, it] : accounts_)
        it.configure(now, limit_of(*config_, id));
    make_accounts(now);
}

void rate_ledger::make_accounts(instant now)
{
    for (auto const& [id, it] : config_->customers)
        account_of(id, now);
}

void rate_ledger::lead(instant now, instant settled)
{
    accounts_.clear();
    held_.clear();
    settled_ = settled;
    make_accounts(now);
}

void rate_ledger::follow()
{
    accounts_.clear();
    held_.clear();
}

rate_account* rate_ledger::account_of(customer_id const& customer, instant now)
{
    if (auto const it = accounts_.find(customer); it != accounts_.end())
        return &it->second;
    if (!config_->customers.contains(customer))
        return nullptr;
    auto& made = accounts_.try_emplace(customer, settings_, now, settled_).first->second;
    made.configure(now, limit_of(*config_, customer));
    return &made;
}

std::set<customer_id> rate_ledger::report(messages::renew_request const& asked, instant now)
{
    auto concerned = held_[asked.self.id];
    auto silent = concerned;
    for (auto const& it : asked.demand)
    {
        auto* const account = account_of(it.customer, now);
        if (account == nullptr)
            continue;
        account->report(now, asked, it);
        silent.erase(it.customer);
        concerned.insert(it.customer);
    }
    for (auto const& id : silent)
        accounts_.at(id).report(now, asked, {.customer = id});
    return concerned;
}

void rate_ledger::grant(messages::renew_request const& asked, instant until, context& with,
                        messages::lease_grant& out)
{
    auto& held = held_[asked.self.id];
    auto const concerned = report(asked, with.now);
    held.clear();
    for (auto const& id : concerned)
    {
        auto& account = accounts_.at(id);
        auto slice = account.slice(with.now, asked, until);
        if (account.has(asked.self.id))
            held.insert(id);
        slice.customer = id;
        if (slice.rate != millitokens_per_second{} || slice.burst != millitokens{})
            out.slices.push_back(std::move(slice));
    }
}

void rate_ledger::restarted(instance_id entry, instant now)
{
    for (auto const& id : held_[entry])
        accounts_.at(id).restarted(entry, now);
}

void rate_ledger::lapsed(instance_id entry, instant now)
{
    for (auto const& id : held_[entry])
        accounts_.at(id).lapsed(entry, now);
    held_.erase(entry);
}

millitokens rate_ledger::lend(instant now, instance_id entry, messages::borrow_request const& asked)
{
    auto* const account = account_of(asked.customer, now);
    if (account == nullptr)
        return {};
    held_[entry].insert(asked.customer);
    return account->lend(now, entry, asked);
}

rate_account const* rate_ledger::find(customer_id const& customer) const
{
    auto const it = accounts_.find(customer);
    return it == accounts_.end() ? nullptr : &it->second;
}

} // namespace mulberryrudder::control
