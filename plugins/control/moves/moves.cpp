#include "moves.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/core/wall_clock.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

component_registrar<moves> const registration{"moves", component_order::moves};

/// Time after which a command that is still not applied is proposed again.
constexpr span proposal_timeout = seconds(1);
/// Maximum number of steps a route that the report of a move lists.
constexpr std::size_t max_history = 100;

kernel::counter_kind const
    steps_counter("moves.steps", "Committed steps of moves: changes of a new version's share.");
kernel::counter_kind const held_counter(
    "moves.held",
    "Transitions of a move to `held`, since measurements of its new version were missing.");
kernel::counter_kind const
    done_counter("moves.done", "Moves that ended with the new version on the whole route.");
kernel::counter_kind const
    taken_back_counter("moves.taken_back",
                       "Moves that were rolled back to the old version after a fault.");
kernel::counter_kind const
    late_counter("moves.late", "Moves whose deadline passed before their share was at the cap.");

kernel::event_kind const event_stepped(
    {.number = 700,
     .name = "move.stepped",
     .level = kernel::severity::info,
     .meaning = "The share of a route's requests that a move sends to the new version has changed.",
     .action = "None."});
kernel::event_kind const event_held(
    {.number = 701,
     .name = "move.held",
     .level = kernel::severity::warning,
     .meaning = "A move takes no step up, since measurements of its new version are "
                "missing.",
     .action = "Check that targets of the new version are announced and receive requests."});
kernel::event_kind const event_resumed(
    {.number = 702,
     .name = "move.resumed",
     .level = kernel::severity::info,
     .meaning = "Measurements of a held move's new version arrive again; the move continues.",
     .action = "None."});
kernel::event_kind const event_watching(
    {.number = 703,
     .name = "move.watching",
     .level = kernel::severity::info,
     .meaning = "A move's share is at the cap; the new version is watched for late faults.",
     .action = "Keep the old version's targets until the move is done."});
kernel::event_kind const
    event_taken_back({.number = 704,
                      .name = "move.taken_back",
                      .level = kernel::severity::error,
                      .meaning = "A move was rolled back: the old version gets all requests of the "
                                 "route on all entries.",
                      .action = "See the evidence; fix the new version and order a new move."});
kernel::event_kind const
    event_done({.number = 705,
                .name = "move.done",
                .level = kernel::severity::info,
                .meaning = "A move is done: the new version gets all requests of the "
                           "route.",
                .action = "The targets of the old version may be stopped."});
kernel::event_kind const event_late({.number = 706,
                                     .name = "move.late",
                                     .level = kernel::severity::warning,
                                     .meaning = "A move's deadline passed before its share was at "
                                                "the cap; the move continues.",
                                     .action = "See `mulberryctl explain move`."});

utc_time to_utc_time(microseconds since_epoch)
{
    return utc_time(since_epoch.count());
}

std::string_view outcome_name(move_outcome outcome)
{
    static constexpr std::array<std::string_view, 3> names{"done", "taken back", "withdrawn"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace

moves::moves(component_parts const& parts)
    : services_(parts.services), config_(parts.config.get(moves_section))
{
}

bool moves::may_act(context const& ctx) const
{
    return services_.require<replicated_log>().may_act(ctx.now);
}

microseconds moves::wall_time(context const& ctx) const
{
    auto const* const clock = services_.find<wall_clock>();
    return clock != nullptr ? microseconds(clock->since_epoch()) : ctx.now.time_since_epoch();
}

move_state moves::state_of(route_id const& route, move_order const& order, context const& ctx) const
{
    auto const remaining = microseconds(order.terms.deadline.value()) - wall_time(ctx);
    return {.order = order,
            .share = state().config()->routes.at(route).next_share,
            .deadline = ctx.now + remaining};
}

running_move& moves::find_or_create(route_id const& route, move_order const& order,
                                    context const& ctx)
{
    auto& it = running_[route];
    move_key const key{route, order.note};
    if (!it || it->key() != key)
        it = std::make_unique<running_move>(key, state_of(route, order, ctx), config_, ctx.now);
    return *it;
}

void moves::received(envelope const& message, context& ctx)
{
    static std::array const table{on<&moves::renew_received>()};
    dispatch(*this, table, message.from, message.body, ctx);
}

void moves::renew_received(instance_id sender, messages::renew_request const& request, context& ctx)
{
    if (!may_act(ctx))
        return;
    for (auto const& observation : request.observations)
    {
        auto const order = state().moves().find(observation.route);
        if (order == state().moves().end())
            continue;
        auto& move = find_or_create(observation.route, order->second, ctx);
        move.observe(sender, observation, state_of(observation.route, order->second, ctx), ctx.now);
    }
    if (!request.observations.empty())
        tick(ctx);
}

void moves::tick(context& ctx)
{
    if (!may_act(ctx))
        return;
    // A copy, since propose() may apply the command at once and so end a move.
    auto const orders = state().moves();
    std::erase_if(running_, [&](auto const& it) { return !orders.contains(it.first); });
    for (auto const& [route, order] : orders)
    {
        auto& move = find_or_create(route, order, ctx);
        auto const previous_phase = move.phase();
        bool const was_late = move.is_late();
        auto const command = move.decide(state_of(route, order, ctx), ctx.now);
        report_phase_change(move, previous_phase, was_late, ctx);
        if (command)
            propose(*command, ctx);
    }
}

void moves::propose(move_command const& command, context& ctx)
{
    auto const& key =
        std::visit([](auto const& it) -> move_key const& { return it.move; }, command);
    auto const pending = proposed_.find(key);
    // A different command, such as the end after a fault, is proposed at once.
    if (pending != proposed_.end() && pending->second.command == command &&
        ctx.now < pending->second.retry_at)
        return;
    proposed_.insert_or_assign(key, proposal{command, ctx.now + proposal_timeout});
    std::visit([this](auto const& it) { state().propose_change(it); }, command);
}

void moves::report_phase_change(running_move const& move, move_phase previous_phase, bool was_late,
                                context& ctx) const
{
    std::vector<kernel::event_field> const fields{{"route", move.key().route.value()}};
    if (move.is_late() && !was_late)
    {
        ctx.counters.add(late_counter);
        ctx.events.record(event_late, fields);
    }
    if (move.phase() == previous_phase)
        return;
    if (move.phase() == move_phase::held)
    {
        ctx.counters.add(held_counter);
        ctx.events.record(event_held, fields);
    }
    if (previous_phase == move_phase::held && move.phase() == move_phase::stepping)
        ctx.events.record(event_resumed, fields);
    if (move.phase() == move_phase::watching)
        ctx.events.record(event_watching, fields);
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

void moves::applied(log_entry const& entry, context& ctx)
{
    static std::array const table{on<&moves::step_applied>(), on<&moves::end_applied>()};
    auto const& last = state().last_change();
    if (last.index == entry.index && last.outcome == change_outcome::accepted)
        dispatch(*this, table, entry.index, entry.command, ctx);
}

void moves::step_applied(log_index, step_move const& step, context& ctx)
{
    proposed_.erase(step.move);
    ctx.counters.add(steps_counter);
    ctx.events.record(event_stepped, {{"route", step.move.route.value()},
                                      {"share", std::to_string(step.share.count())}});
    record_step(step.move.route, "step", {}, ctx);
}

void moves::end_applied(log_index, end_move const& end, context& ctx)
{
    proposed_.erase(end.move);
    bool const done = end.outcome == move_outcome::done;
    ctx.counters.add(done ? done_counter : taken_back_counter);
    ctx.events.record(done ? event_done : event_taken_back,
                      {{"route", end.move.route.value()}, {"evidence", end.evidence}});
    record_step(end.move.route, std::string(outcome_name(end.outcome)), end.evidence, ctx);
}

void moves::record_step(route_id const& route, std::string action, std::string evidence,
                        context& ctx)
{
    auto& steps = history_[route];
    steps.push_back({.at = to_utc_time(wall_time(ctx)),
                     .what = std::move(action),
                     .share = state().config()->routes.at(route).next_share,
                     .evidence = std::move(evidence)});
    if (steps.size() > max_history)
        steps.pop_front();
}

bool moves::asked(operator_asked const& request, context& ctx)
{
    static std::array const table{on<&moves::explain>()};
    return dispatch(*this, table, request.id, request.body, ctx);
}

void moves::explain(operator_request_id id, move_query const& query, context& ctx)
{
    move_report out{.route = query.route};
    if (auto const steps = history_.find(query.route); steps != history_.end())
        out.steps.assign(steps->second.begin(), steps->second.end());
    if (!describe_running(query.route, out))
        describe_ended(query.route, out);
    ctx.answer(id, std::move(out));
}

bool moves::describe_running(route_id const& route, move_report& out) const
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

void moves::describe_ended(route_id const& route, move_report& out) const
{
    for (auto const& it : state().ended_moves())
    {
        if (it.move.route != route)
            continue;
        out.state = outcome_name(it.outcome);
        out.from = it.order.from;
        out.to = it.order.terms.version;
        out.cap = it.order.terms.cap;
        out.deadline = it.order.terms.deadline;
        out.evidence = {it.evidence};
    }
}

} // namespace mulberryrudder::control
