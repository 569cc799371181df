#include "rate_stage.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

kernel::section<rate_settings> const rate_section{
    "rate",
    {
        kernel::field("patience", &rate_settings::patience, {0, 10'000},
                      "Most milliseconds that a request waits for tokens."),
        kernel::field("most_waiting", &rate_settings::most_waiting, {0, 100'000},
                      "Most requests of one customer that wait for tokens."),
        kernel::field("borrow_timeout", &rate_settings::borrow_timeout, {10, 10'000},
                      "Milliseconds after which an answer of the ledger no longer counts."),
        kernel::field("borrow_again", &rate_settings::borrow_again, {1, 10'000},
                      "Milliseconds until the ledger is asked again after it lent too little; "
                      "each time in a row doubles it."),
        kernel::field("borrow_most", &rate_settings::borrow_most, {1, 60'000},
                      "Most milliseconds until the ledger is asked again."),
        kernel::field("top_up_period", &rate_settings::top_up_period, {1, 10'000},
                      "Least milliseconds between two questions for tokens in advance."),
    }};

namespace
{

stage_registrar<rate_stage> const entered{"rate", stage_order::rate};

refusal_kind const rate_exceeded({.name = "rate_exceeded",
                                  .counter_name = "refused.rate_exceeded",
                                  .status = 429,
                                  .meaning = "The customer's rate and burst are used up over all "
                                             "instances together."});
refusal_kind const
    slice_ended({.name = "slice_ended",
                 .counter_name = "refused.slice_ended",
                 .status = 503,
                 .meaning = "The lease ended while the request waited, so that the customer's "
                            "tokens cannot be counted here."});

kernel::counter_kind const admitted_count("rate.admitted", "Requests that paid their token here.");
kernel::counter_kind const waited_count("rate.waited", "Requests that waited for tokens.");
kernel::counter_kind const borrow_requests("rate.borrow_requests", "Questions to the ledger.");
kernel::counter_kind const borrow_short("rate.borrow_short",
                                        "Questions after which requests still waited for tokens.");
kernel::counter_kind const borrow_timeouts("rate.borrow_timeouts",
                                           "Questions that were not answered in time.");
kernel::counter_kind const loans_stale("rate.loans_stale",
                                       "Loans dropped: late, twice, of a former leader or without "
                                       "a lease.");

std::array const handlers{on_message<&rate_stage::lent>()};

/// Asks for tokens in advance below this part of the burst.
millitokens low_water(millitokens burst)
{
    return millitokens(burst.count() / 4);
}

millitokens cost_of(std::size_t count)
{
    return millitokens(request_cost.count() * static_cast<std::int64_t>(count));
}

} // namespace

rate_stage::rate_stage(stage_parts const& parts)
    : settings_(parts.config.get(rate_section)), services_(parts.services)
{
}

fleet_view const& rate_stage::view()
{
    if (view_ == nullptr)
        view_ = &services_.require<fleet_view>();
    return *view_;
}

rate_stage::account& rate_stage::account_of(customer_id const& customer, instant now)
{
    return accounts_.try_emplace(customer, now, settings_).first->second;
}

bool rate_stage::pays(request const& what)
{
    if (what.customer == customer_id{} || what.origin || !what.attempts.empty())
        return false;
    auto const route = view().config().routes.find(what.route);
    return route == view().config().routes.end() || !route->second.open;
}

void rate_stage::note_lapse(instant now)
{
    if (now < valid_until_)
        return;
    for (auto& [id, it] : accounts_)
    {
        it.slice.lapse(now);
        it.loans.abandon();
    }
}

step rate_stage::admit(request& what, context& with)
{
    if (!pays(what))
        return proceed{};
    note_lapse(with.now);
    if (!view().lease_live(with.now))
        return refuse(slice_ended);
    auto& of = account_of(what.customer, with.now);
    of.slice.count_arrival();
    if (!of.waiting.empty() || !of.slice.take(with.now))
    {
        auto decided = enqueue(of, what, with);
        ask_for_waiting(what.customer, of, with);
        return decided;
    }
    with.counters.add(admitted_count);
    ask_in_advance(what.customer, of, with);
    return proceed{};
}

step rate_stage::enqueue(account& of, request const& what, context& with)
{
    if (of.waiting.size() >= static_cast<std::size_t>(settings_.most_waiting.count()))
        return refuse(rate_exceeded);
    with.counters.add(waited_count);
    auto const until = std::min(with.now + span(settings_.patience), what.deadline);
    of.waiting.push_back({.id = what.id, .until = until});
    return wait{};
}

void rate_stage::ask(customer_id const& customer, account& of, millitokens needed,
                     millitokens wanted, context& with)
{
    auto out = of.loans.ask(with.now);
    out.customer = customer;
    out.boot = with.self.boot;
    out.needed = needed;
    out.wanted = wanted;
    with.counters.add(borrow_requests);
    with.send(view().leader(), std::move(out));
}

void rate_stage::ask_for_waiting(customer_id const& customer, account& of, context& with)
{
    if (of.waiting.empty() || !of.loans.may_ask(with.now))
        return;
    auto const held = of.slice.tokens(with.now);
    auto const needed = std::max(cost_of(of.waiting.size()) - held, request_cost);
    ask(customer, of, needed, needed + low_water(of.slice.burst()), with);
}

void rate_stage::ask_in_advance(customer_id const& customer, account& of, context& with)
{
    auto const low = low_water(of.slice.burst());
    if (of.slice.tokens(with.now) >= low || !of.loans.may_top_up(with.now))
        return;
    ask(customer, of, {}, low, with);
}

void rate_stage::serve(account& of, context& with)
{
    while (!of.waiting.empty() && of.slice.take(with.now))
    {
        auto const id = of.waiting.front().id;
        of.waiting.pop_front();
        with.counters.add(admitted_count);
        with.flow.resume(id);
    }
}

void rate_stage::refuse_overdue(account& of, context& with)
{
    while (!of.waiting.empty() && of.waiting.front().until <= with.now)
    {
        auto const id = of.waiting.front().id;
        of.waiting.pop_front();
        with.flow.finish(id, refused{.why = &rate_exceeded, .run = verdict::not_run});
    }
}

void rate_stage::finished(request const& what, outcome const&, context&)
{
    auto const found = accounts_.find(what.customer);
    if (found == accounts_.end())
        return;
    auto& waiting = found->second.waiting;
    auto const same = [&](waiting_request const& it) { return it.id == what.id; };
    if (auto const it = std::find_if(waiting.begin(), waiting.end(), same); it != waiting.end())
        waiting.erase(it);
}

void rate_stage::received(envelope const& it, context& with)
{
    dispatch(*this, handlers, it, with);
}

void rate_stage::lent(instance_id, messages::borrow_grant const& it, context& with)
{
    note_lapse(with.now);
    auto const found = accounts_.find(it.customer);
    if (found == accounts_.end() || it.term < view().term() || !view().lease_live(with.now))
        return with.counters.add(loans_stale);
    auto& of = found->second;
    auto const lent = of.loans.answered(it, with.now);
    if (!lent)
        return with.counters.add(loans_stale);
    of.slice.lend(with.now, *lent);
    serve(of, with);
    of.slice.trim();
    if (of.waiting.empty())
        return of.loans.satisfied();
    with.counters.add(borrow_short);
    of.loans.put_off(with.now, with.random);
}

void rate_stage::leased(messages::lease_grant const& it, context& with)
{
    note_lapse(with.now);
    valid_until_ = view().lease_deadline();
    std::map<customer_id, messages::rate_slice const*> granted;
    for (auto const& slice : it.slices)
    {
        granted.emplace(slice.customer, &slice);
        if (!stopping_)
            account_of(slice.customer, with.now);
    }
    for (auto& [id, of] : accounts_)
    {
        auto const found = granted.find(id);
        of.slice.grant(with.now, found == granted.end() ? messages::rate_slice{} : *found->second,
                       it.sequence);
        serve(of, with);
    }
}

void rate_stage::report(messages::renew_request& out, context& with)
{
    note_lapse(with.now);
    bool const live = view().lease_live(with.now);
    for (auto& [id, of] : accounts_)
    {
        auto demand = of.slice.report(with.now, out.sequence, live);
        demand.customer = id;
        bool const empty = demand.wanted == millitokens_per_second{} &&
                           demand.held_rate == millitokens_per_second{} &&
                           demand.held_burst == millitokens{} && demand.returned == millitokens{};
        if (!empty)
            out.demand.push_back(std::move(demand));
    }
}

void rate_stage::stopping(context& with)
{
    stopping_ = true;
    note_lapse(with.now);
    for (auto& [id, it] : accounts_)
        it.slice.hand_back(with.now);
}

void rate_stage::tend(customer_id const& customer, account& of, context& with)
{
    if (of.loans.give_up(with.now))
    {
        with.counters.add(borrow_timeouts);
        of.loans.put_off(with.now, with.random);
    }
    if (of.waiting.empty())
        return;
    serve(of, with);
    refuse_overdue(of, with);
    ask_for_waiting(customer, of, with);
}

void rate_stage::tick(context& with)
{
    note_lapse(with.now);
    bool const live = view().lease_live(with.now);
    for (auto& [id, of] : accounts_)
    {
        if (live)
            tend(id, of, with);
        while (!live && !of.waiting.empty())
        {
            auto const request = of.waiting.front().id;
            of.waiting.pop_front();
            with.flow.finish(request, refused{.why = &slice_ended, .run = verdict::not_run});
        }
    }
}

} // namespace mulberryrudder::entry
