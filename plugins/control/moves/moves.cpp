#include "moves.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/core/wall_clock.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

component_registrar<moves> const entered{"moves", component_order::moves};

/// How long a proposed command is waited for before it is proposed again.
constexpr span proposal_patience = seconds(1);
constexpr std::size_t events_kept = 100;

kernel::counter_kind const steps_counter("moves.steps", "Committed changes of a move's share.");
kernel::counter_kind const held_counter("moves.held", "Times that a move was held.");
kernel::counter_kind const done_counter("moves.done", "Moves that were finished.");
kernel::counter_kind const taken_back_counter("moves.taken_back", "Moves that were taken back.");
kernel::counter_kind const late_counter("moves.late", "Moves that missed their deadline.");

kernel::event_kind const
    event_stepped({.number = 700,
                   .name = "move.stepped",
                   .level = kernel::severity::info,
                   .meaning = "A move's new version got another share of its route.",
                   .action = "None."});
kernel::event_kind const
    event_held({.number = 701,
                .name = "move.held",
                .level = kernel::severity::warning,
                .meaning = "A move takes no step, since measurements of its new version are "
                           "missing.",
                .action = "Check that targets of the new version are announced and used."});
kernel::event_kind const event_resumed({.number = 702,
                                        .name = "move.resumed",
                                        .level = kernel::severity::info,
                                        .meaning = "Measurements of a held move are back.",
                                        .action = "None."});
kernel::event_kind const
    event_watching({.number = 703,
                    .name = "move.watching",
                    .level = kernel::severity::info,
                    .meaning = "A move reached its cap and is watched for late faults.",
                    .action = "Keep the old version's targets until the move is done."});
kernel::event_kind const event_taken_back({.number = 704,
                                           .name = "move.taken_back",
                                           .level = kernel::severity::error,
                                           .meaning = "A move's new version was withdrawn on all "
                                                      "entries; the old one keeps the route.",
                                           .action = "See the evidence; mend the version."});
kernel::event_kind const event_done({.number = 705,
                                     .name = "move.done",
                                     .level = kernel::severity::info,
                                     .meaning = "A move is finished: the new version has the "
                                                "route.",
                                     .action = "The old version's targets may be stopped."});
kernel::event_kind const event_late({.number = 706,
                                     .name = "move.late",
                                     .level = kernel::severity::warning,
                                     .meaning = "A move's deadline passed before its share was at "
                                                "the cap; it goes on.",
                                     .action = "See `mulberryctl explain move`."});

utc_time utc_of(microseconds since_epoch)
{
    return utc_time(since_epoch.count());
}

std::string_view name_of(move_outcome outcome)
{
    static constexpr std::array<std::string_view, 3> names{"done", "taken back", "withdrawn"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace

moves::moves(component_parts const& parts)
    : services_(parts.services), config_(parts.config.get(moves_section))
{
}

bool moves::leads(context const& with) const
{
    return services_.require<replicated_log>().may_act(with.now);
}

microseconds moves::time_of_day(context const& with) const
{
    auto const* const clock = services_.find<wall_clock>();
    return clock != nullptr ? microseconds(clock->since_epoch()) : with.now.time_since_epoch();
}

move_standing moves::standing_of(route_id const& route, move_order const& order,
                                 context const& with) const
{
    auto const left = microseconds(order.terms.deadline.value()) - time_of_day(with);
    return {.order = order,
            .share = state().config()->routes.at(route).next_share,
            .deadline = with.now + left};
}

running_move& moves::follow(route_id const& route, move_order const& order, context const& with)
{
    auto& it = running_[route];
    move_key const key{route, order.note};
    if (!it || it->key() != key)
        it =
            std::make_unique<running_move>(key, standing_of(route, order, with), config_, with.now);
    return *it;
}

void moves::received(envelope const& it, context& with)
{
    static std::array const table{on<&moves::renewed>()};
    dispatch(*this, table, it.from, it.body, with);
}

void moves::renewed(instance_id from, messages::renew_request const& it, context& with)
{
    if (!leads(with))
        return;
    for (auto const& seen : it.observations)
    {
        auto const order = state().moves().find(seen.route);
        if (order == state().moves().end())
            continue;
        auto& move = follow(seen.route, order->second, with);
        move.observe(from, seen, standing_of(seen.route, order->second, with), with.now);
    }
    if (!it.observations.empty())
        tick(with);
}

void moves::tick(context& with)
{
    if (!leads(with))
        return;
    // A copy, since a proposal may be applied at once and end a move.
    auto const orders = state().moves();
    std::erase_if(running_, [&](auto const& it) { return !orders.contains(it.first); });
    for (auto const& [route, order] : orders)
    {
        auto& move = follow(route, order, with);
        auto const before = move.phase();
        bool const was_late = move.is_late();
        auto const command = move.decide(standing_of(route, order, with), with.now);
        tell_phase(move, before, was_late, with);
        if (command)
            propose(*command, with);
    }
}

void moves::propose(move_command const& command, context& with)
{
    auto const& key =
        std::visit([](auto const& it) -> move_key const& { return it.move; }, command);
    auto const waiting = proposed_.find(key);
    // Another command, such as the end after a fault, does not wait for a step.
    if (waiting != proposed_.end() && waiting->second.what == command &&
        with.now < waiting->second.wait_until)
        return;
    proposed_.insert_or_assign(key, proposal{command, with.now + proposal_patience});
    std::visit([this](auto const& it) { state().propose_change(it); }, command);
}

void moves::tell_phase(running_move const& it, move_phase before, bool was_late,
                       context& with) const
{
    std::vector<kernel::event_field> const about{{"route", it.key().route.value()}};
    if (it.is_late() && !was_late)
    {
        with.counters.add(late_counter);
        with.events.record(event_late, about);
    }
    if (it.phase() == before)
        return;
    if (it.phase() == move_phase::held)
    {
        with.counters.add(held_counter);
        with.events.record(event_held, about);
    }
    if (before == move_phase::held && it.phase() == move_phase::stepping)
        with.events.record(event_resumed, about);
    if (it.phase() == move_phase::watching)
        with.events.record(event_watching, about);
}

void moves::leading(context&)
{
    running_.clear();
    proposed_.clear();
}

void moves::following(context&)
{
    running_.clear();
    proposed_.clear();
}

void moves::applied(log_entry const& it, context& with)
{
    static std::array const table{on<&moves::stepped>(), on<&moves::ended>()};
    auto const& last = state().last_change();
    if (last.index == it.index && last.outcome == change_outcome::accepted)
        dispatch(*this, table, it.index, it.command, with);
}

void moves::stepped(log_index, step_move const& it, context& with)
{
    proposed_.erase(it.move);
    with.counters.add(steps_counter);
    with.events.record(event_stepped, {{"route", it.move.route.value()},
                                       {"share", std::to_string(it.share.count())}});
    remember(it.move.route, "step", {}, with);
}

void moves::ended(log_index, end_move const& it, context& with)
{
    proposed_.erase(it.move);
    bool const done = it.outcome == move_outcome::done;
    with.counters.add(done ? done_counter : taken_back_counter);
    with.events.record(done ? event_done : event_taken_back,
                       {{"route", it.move.route.value()}, {"evidence", it.evidence}});
    remember(it.move.route, std::string(name_of(it.outcome)), it.evidence, with);
}

void moves::remember(route_id const& route, std::string what, std::string evidence, context& with)
{
    auto& events = history_[route];
    events.push_back({.at = utc_of(time_of_day(with)),
                      .what = std::move(what),
                      .share = state().config()->routes.at(route).next_share,
                      .evidence = std::move(evidence)});
    if (events.size() > events_kept)
        events.pop_front();
}

bool moves::asked(operator_asked const& it, context& with)
{
    static std::array const table{on<&moves::explain>()};
    return dispatch(*this, table, it.id, it.body, with);
}

void moves::explain(operator_request_id asker, move_query const& it, context& with)
{
    move_report out{.route = it.route};
    if (auto const found = history_.find(it.route); found != history_.end())
        out.steps.assign(found->second.begin(), found->second.end());
    if (!tell_running(it.route, out))
        tell_ended(it.route, out);
    with.answer(asker, std::move(out));
}

bool moves::tell_running(route_id const& route, move_report& out) const
{
    auto const found = state().moves().find(route);
    if (found == state().moves().end())
        return false;
    auto const& order = found->second;
    out.state = "running";
    out.from = order.from;
    out.to = order.terms.version;
    out.share = state().config()->routes.at(route).next_share;
    out.cap = order.terms.cap;
    out.deadline = order.terms.deadline;
    if (auto const it = running_.find(route); it != running_.end())
    {
        out.state = to_string(it->second->phase());
        out.evidence = it->second->evidence();
    }
    return true;
}

void moves::tell_ended(route_id const& route, move_report& out) const
{
    for (auto const& it : state().ended_moves())
    {
        if (it.move.route != route)
            continue;
        out.state = name_of(it.outcome);
        out.from = it.order.from;
        out.to = it.order.terms.version;
        out.cap = it.order.terms.cap;
        out.deadline = it.order.terms.deadline;
        out.evidence = {it.evidence};
    }
}

} // namespace mulberryrudder::control
