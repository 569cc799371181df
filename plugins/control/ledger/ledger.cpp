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

/// Questions of one customer that wait; more are answered at once with what there is.
constexpr std::size_t most_waiting = 1024;

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

void ledger::following(context&)
{
    waiting_.clear();
}

void ledger::tick(context& with)
{
    configure(with);
    answer_waiting(with);
}

void ledger::borrowed(instance_id from, messages::borrow_request const& it, context& with)
{
    with.counters.add(loans_asked);
    auto const found = waiting_.find(it.customer);
    bool const behind = found != waiting_.end();
    bool const may_wait = it.needed > millitokens{} &&
                          (!behind || found->second.size() < most_waiting) &&
                          services_.require<replicated_log>().may_act(with.now);
    if (may_wait && (behind || rates_.available(with.now, it.customer) < it.needed))
    {
        waiting_[it.customer].push_back({.from = from,
                                         .asked = it,
                                         .arrived = with.now,
                                         .until = with.now + settings_.loan_wait});
        return;
    }
    answer(from, it, span{}, with);
}

void ledger::answer_waiting(context& with)
{
    for (auto& [customer, queue] : waiting_)
        answer_front(queue, with);
    std::erase_if(waiting_, [](auto const& it) { return it.second.empty(); });
}

void ledger::answer_front(std::deque<waiting_loan>& queue, context& with)
{
    // All wait equally long, so who came first is also over first.
    while (!queue.empty())
    {
        auto const& it = queue.front();
        bool const enough = rates_.available(with.now, it.asked.customer) >= it.asked.needed;
        if (!enough && with.now < it.until)
            return;
        answer(it.from, it.asked, with.now - it.arrived, with);
        queue.pop_front();
    }
}

void ledger::answer(instance_id to, messages::borrow_request const& it, span waited, context& with)
{
    auto const& log = services_.require<replicated_log>();
    messages::borrow_grant out{.sequence = it.sequence,
                               .term = log.term(),
                               .customer = it.customer,
                               .lent = {},
                               .valid_for = waited + settings_.loan_time};
    // The entry counts from when it asked, which was before the question arrived.
    out.valid_for -= out.valid_for / loan_margin_divisor;
    if (log.may_act(with.now))
        out.lent = rates_.lend(with.now, to, it);
    else
        with.counters.add(loans_not_leader);
    if (out.lent == millitokens{})
        with.counters.add(loans_refused);
    with.send(to, out);
}

} // namespace mulberryrudder::control
