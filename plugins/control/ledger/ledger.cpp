#include "ledger.hpp"

#include <array>

namespace mulberryrudder::control
{

namespace
{

component_registrar<ledger> const entered{"ledger", component_order::ledger};

kernel::counter_kind const loans_asked("ledger.loans_asked", "Questions of entries for tokens.");
kernel::counter_kind const loans_refused("ledger.loans_refused",
                                         "Questions for tokens that got none.");
kernel::counter_kind const loans_not_leader("ledger.loans_not_leader",
                                            "Questions for tokens while this replica may not act.");

std::array const handlers{on<&ledger::borrowed>()};

/// Part of the loan time that an entry's slower clock may take longer.
constexpr std::int64_t loan_margin_divisor = 50;

} // namespace

ledger::ledger(component_parts const& parts)
    : settings_(parts.config.get(ledger_section)), services_(parts.services), rates_(settings_),
      headroom_(settings_), parts_{&rates_, &headroom_}
{
    parts.services.provide<lease_parts>(*this);
    parts.services.provide<ledger>(*this);
}

void ledger::configure(context const& with)
{
    auto const config = services_.require<fleet_state_view>().config();
    rates_.configure(with.now, config);
    headroom_.configure(config);
}

void ledger::received(envelope const& it, context& with)
{
    dispatch(*this, handlers, it.from, it.body, with);
}

void ledger::applied(log_entry const&, context& with)
{
    configure(with);
}

void ledger::leading(context& with)
{
    configure(with);
}

void ledger::tick(context& with)
{
    configure(with);
}

void ledger::borrowed(instance_id from, messages::borrow_request const& it, context& with)
{
    auto const& log = services_.require<replicated_log>();
    with.counters.add(loans_asked);
    messages::borrow_grant out{.sequence = it.sequence,
                               .term = log.term(),
                               .customer = it.customer,
                               .lent = {},
                               .valid_for = settings_.loan_time};
    out.valid_for -= out.valid_for / loan_margin_divisor;
    if (log.may_act(with.now))
        out.lent = rates_.lend(with.now, from, it);
    else
        with.counters.add(loans_not_leader);
    if (out.lent == millitokens{})
        with.counters.add(loans_refused);
    with.send(from, out);
}

} // namespace mulberryrudder::control
