#include "fleet_state.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::control::internal
{

namespace
{

/// Maximum numbers of notes and of ended moves in the history. The history is part of the
/// replicated state and must be the same on every replica, so that these are no settings.
constexpr std::size_t max_notes = 5000;
constexpr std::size_t max_ended_moves = 200;

component_registrar<fleet_state> const registration{"fleet_state", component_order::fleet_state};

kernel::event_kind const changed_event{
    {.number = 600,
     .name = "config.changed",
     .level = kernel::severity::info,
     .meaning = "A change of the configuration was committed and is in force.",
     .action = "None."}};
kernel::event_kind const refused_event{
    {.number = 601,
     .name = "config.change_refused",
     .level = kernel::severity::warning,
     .meaning = "A committed change had no effect, since it no longer fits the state.",
     .action = "Compare the change with the state and send one that fits."}};
kernel::event_kind const loaded_event{
    {.number = 602,
     .name = "config.loaded",
     .level = kernel::severity::info,
     .meaning = "The state was replaced by a snapshot, from the leader or from the disk.",
     .action = "None."}};

kernel::counter_kind const accepted_counter{"config.changes.accepted",
                                            "Committed changes that were put in force."};
kernel::counter_kind const unchanged_counter{
    "config.changes.unchanged", "Committed changes without effect: the state was already as "
                                "requested."};
kernel::counter_kind const refused_counter{
    "config.changes.refused", "Committed changes without effect: they did not fit the state."};
kernel::counter_kind const conflict_counter{
    "config.changes.conflict",
    "Committed notes without effect: the number belongs to another note or the base is not "
    "the newest."};
kernel::counter_kind const generation_counter{
    "config.generation", "Level: generation of the newest committed configuration."};

kernel::counter_kind const& counter_of(change_outcome outcome)
{
    switch (outcome)
    {
    case change_outcome::accepted:
        return accepted_counter;
    case change_outcome::unchanged:
        return unchanged_counter;
    case change_outcome::refused:
        return refused_counter;
    case change_outcome::conflict:
        return conflict_counter;
    }
    return refused_counter;
}

change_result refuse(std::string place, std::string expected)
{
    return {.outcome = change_outcome::refused,
            .failed = {{.place = std::move(place), .expected = std::move(expected)}}};
}

} // namespace

fleet_state::fleet_state(component_parts const& parts) : services_(parts.services)
{
    parts.services.provide<fleet_state_view>(*this);
}

note_record const* fleet_state::find_note(note_number number) const
{
    auto const it = state_.notes.find(number);
    return it == state_.notes.end() ? nullptr : &it->second;
}

std::optional<change_result> fleet_state::result_without_applying(commit_note const& command) const
{
    change_result out{.generation = state_.plan.config->generation};
    if (auto const* const committed = find_note(command.note.number))
    {
        bool const same = committed->content == command.content;
        out.outcome = same ? change_outcome::accepted : change_outcome::conflict;
        if (same)
            out.generation = committed->generation;
        out.winner = *committed;
        return out;
    }
    out.outcome = change_outcome::conflict;
    if (command.note.number <= state_.forgotten)
    {
        out.failed.push_back({.place = "/number",
                              .expected = "a number above " +
                                          std::to_string(state_.forgotten.value()) +
                                          ": lower ones are no longer remembered"});
        return out;
    }
    if (!command.note.based_on || is_newest_base(*command.note.based_on))
        return std::nullopt;
    out.failed.push_back({.place = "/based_on",
                          .expected = "a generation up to " +
                                      std::to_string(out.generation.value()) +
                                      " that no later note has changed"});
    if (auto const* const last = newest_note())
        out.winner = *last;
    return out;
}

bool fleet_state::is_newest_base(generation_id base) const
{
    // Generations that the steps of moves made do not count, since no operator made them.
    auto const* const last = newest_note();
    return base <= state_.plan.config->generation && (last == nullptr || last->generation <= base);
}

note_record const* fleet_state::newest_note() const
{
    note_record const* out = nullptr;
    for (auto const& [number, it] : state_.notes)
        if (out == nullptr || it.generation > out->generation)
            out = &it;
    return out;
}

change_result fleet_state::try_note(commit_note const& command, fleet_plan& after) const
{
    if (auto const result = result_without_applying(command))
        return *result;
    auto applied = apply_note(state_.plan, command.note);
    if (!applied.failed.empty())
        return {.outcome = change_outcome::refused,
                .generation = state_.plan.config->generation,
                .failed = std::move(applied.failed)};
    after = std::move(applied.after);
    return {.outcome = change_outcome::accepted, .generation = after.config->generation};
}

void fleet_state::applied(log_entry const& entry, context& ctx)
{
    static std::array const table{on<&fleet_state::apply_commit>(), on<&fleet_state::apply_step>(),
                                  on<&fleet_state::apply_end>(), on<&fleet_state::apply_draining>(),
                                  on<&fleet_state::apply_quarantine>()};
    auto const before = state_.plan.config->generation;
    last_change_ = {};
    if (!dispatch(*this, table, entry.index, entry.command, ctx))
        return;
    last_change_.index = entry.index;
    if (last_change_.generation == generation_id())
        last_change_.generation = state_.plan.config->generation;
    check_invariant(state_.plan.config->generation >= before, "the generation never decreases");
    report(ctx);
}

void fleet_state::report(context& ctx) const
{
    ctx.counters.add(counter_of(last_change_.outcome));
    ctx.counters.set(generation_counter, state_.plan.config->generation.value());
    if (last_change_.outcome == change_outcome::accepted)
        ctx.events.record(changed_event,
                          {{"generation", std::to_string(last_change_.generation.value())}});
    else if (last_change_.outcome != change_outcome::unchanged)
        ctx.events.record(refused_event, {{"index", std::to_string(last_change_.index.value())},
                                          {"errors", std::to_string(last_change_.failed.size())}});
}

void fleet_state::apply_commit(log_index, commit_note const& command, context&)
{
    if (auto const result = result_without_applying(command))
    {
        last_change_ = *result;
        return;
    }
    auto applied = apply_note(state_.plan, command.note);
    if (!applied.failed.empty())
    {
        last_change_ = {.outcome = change_outcome::refused, .failed = std::move(applied.failed)};
        return;
    }
    activate(std::move(applied.after));
    for (auto& it : applied.ended)
        store(std::move(it));
    store({.number = command.note.number,
           .content = command.content,
           .generation = state_.plan.config->generation,
           .comment = command.note.comment});
    last_change_ = {.outcome = change_outcome::accepted};
}

void fleet_state::activate(fleet_plan after)
{
    check_invariant(after.config->generation.value() == state_.plan.config->generation.value() + 1,
                    "a change creates the next generation");
    state_.plan = std::move(after);
}

void fleet_state::store(note_record record)
{
    check_invariant(!state_.notes.contains(record.number), "each note number is stored once");
    state_.notes.emplace(record.number, std::move(record));
    if (state_.notes.size() <= max_notes)
        return;
    // The oldest is the one with the lowest generation: a note with a low number may be newer.
    auto const oldest = std::min_element(state_.notes.begin(), state_.notes.end(),
                                         [](auto const& a, auto const& b)
                                         { return a.second.generation < b.second.generation; });
    state_.forgotten = std::max(state_.forgotten, oldest->first);
    state_.notes.erase(oldest);
}

void fleet_state::store(ended_move ended)
{
    state_.ended.push_back(std::move(ended));
    if (state_.ended.size() > max_ended_moves)
        state_.ended.pop_front();
}

fleet_config fleet_state::next_config() const
{
    fleet_config out = *state_.plan.config;
    out.generation = generation_id(out.generation.value() + 1);
    return out;
}

void fleet_state::activate(fleet_config config)
{
    auto after = state_.plan;
    after.config = std::make_shared<fleet_config const>(std::move(config));
    activate(std::move(after));
    last_change_ = {.outcome = change_outcome::accepted};
}

move_order const* fleet_state::find_move(move_key const& move) const
{
    auto const it = state_.plan.moves.find(move.route);
    return it == state_.plan.moves.end() || it->second.note != move.note ? nullptr : &it->second;
}

void fleet_state::apply_step(log_index, step_move const& command, context&)
{
    auto const* const move = find_move(command.move);
    if (move == nullptr)
    {
        last_change_ = refuse("/move", "a move that is running");
        return;
    }
    if (command.share < per_mille(0) || command.share > move->terms.cap)
    {
        last_change_ = refuse("/share", "a share within the move's cap");
        return;
    }
    auto config = next_config();
    auto& route = config.routes.at(command.move.route);
    if (route.next_share == command.share)
    {
        last_change_ = {.outcome = change_outcome::unchanged};
        return;
    }
    route.next_share = command.share;
    activate(std::move(config));
}

void fleet_state::apply_end(log_index, end_move const& command, context&)
{
    auto const* const move = find_move(command.move);
    if (move == nullptr)
    {
        last_change_ = refuse("/move", "a move that is running");
        return;
    }
    auto config = next_config();
    auto& route = config.routes.at(command.move.route);
    if (command.outcome == move_outcome::done)
        route.version = move->terms.version;
    route.next = version_id();
    route.next_share = per_mille(0);
    store({.move = command.move,
           .order = *move,
           .outcome = command.outcome,
           .evidence = command.evidence,
           .ended = config.generation});
    state_.plan.moves.erase(command.move.route);
    activate(std::move(config));
}

template <class T>
void fleet_state::set_membership(std::set<T> fleet_config::*members, T const& id, bool is_member)
{
    if ((state_.plan.config.get()->*members).contains(id) == is_member)
    {
        last_change_ = {.outcome = change_outcome::unchanged};
        return;
    }
    auto config = next_config();
    if (is_member)
        (config.*members).insert(id);
    else
        (config.*members).erase(id);
    activate(std::move(config));
}

void fleet_state::apply_draining(log_index, set_draining const& command, context&)
{
    set_membership(&fleet_config::draining, command.instance, command.draining);
}

void fleet_state::apply_quarantine(log_index, set_quarantine const& command, context&)
{
    set_membership(&fleet_config::quarantined, command.fingerprint, command.quarantined);
}

any_message fleet_state::save() const
{
    return any_message::of(state_);
}

void fleet_state::load(std::vector<any_message> const& parts, context& ctx)
{
    for (auto const& it : parts)
    {
        auto const* const part = it.get<fleet_snapshot>();
        if (part == nullptr)
            continue;
        check_invariant(part->plan.config->generation >= state_.plan.config->generation,
                        "a snapshot does not decrease the generation");
        state_ = *part;
        last_change_ = {};
        ctx.counters.set(generation_counter, state_.plan.config->generation.value());
        ctx.events.record(loaded_event,
                          {{"generation", std::to_string(state_.plan.config->generation.value())}});
    }
}

std::optional<log_index> fleet_state::propose_change(step_move const& change)
{
    return services_.require<replicated_log>().propose(any_message::of(change));
}

std::optional<log_index> fleet_state::propose_change(end_move const& change)
{
    return services_.require<replicated_log>().propose(any_message::of(change));
}

} // namespace mulberryrudder::control::internal
