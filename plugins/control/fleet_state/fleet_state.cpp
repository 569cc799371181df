#include "fleet_state.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <array>

namespace mulberryrudder::control::internal
{

namespace
{

/// Notes and ended moves that are remembered. They are part of the replicated
/// state, so they must be the same on every replica and are no settings.
constexpr std::size_t notes_kept = 5000;
constexpr std::size_t ended_moves_kept = 200;

component_registrar<fleet_state> const entered{"fleet_state", component_order::fleet_state};

kernel::event_kind const changed_event{
    {.number = 600,
     .name = "config.changed",
     .level = kernel::severity::info,
     .meaning = "A change of the configuration was committed and is in force from now on.",
     .action = "None."}};
kernel::event_kind const refused_event{
    {.number = 601,
     .name = "config.change_refused",
     .level = kernel::severity::warning,
     .meaning = "A committed change did not fit the state any more and was left out.",
     .action = "Look at the state and send a change that fits."}};
kernel::event_kind const loaded_event{
    {.number = 602,
     .name = "config.loaded",
     .level = kernel::severity::info,
     .meaning = "The state was replaced by a snapshot of the leader or of the disk.",
     .action = "None."}};

kernel::counter_kind const accepted_counter{"config.changes.accepted",
                                            "Committed changes that are in force."};
kernel::counter_kind const unchanged_counter{"config.changes.unchanged",
                                             "Committed changes of what was so already."};
kernel::counter_kind const refused_counter{"config.changes.refused",
                                           "Committed changes that did not fit the state."};
kernel::counter_kind const conflict_counter{
    "config.changes.conflict", "Committed notes whose number was taken or whose base was old."};
kernel::counter_kind const generation_counter{"config.generation",
                                              "Level: generation of the newest configuration."};

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

std::optional<change_result> fleet_state::decided_before(commit_note const& command) const
{
    change_result out{.generation = state_.plan.config->generation};
    if (auto const* const taken = find_note(command.note.number))
    {
        bool const same = taken->content == command.content;
        out.outcome = same ? change_outcome::accepted : change_outcome::conflict;
        if (same)
            out.generation = taken->generation;
        out.winner = *taken;
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
    auto const base = command.note.based_on;
    if (!base || *base == state_.plan.config->generation)
        return std::nullopt;
    out.failed.push_back(
        {.place = "/based_on",
         .expected = "the newest generation, " + std::to_string(out.generation.value())});
    if (auto const last = newest_note())
        out.winner = *last;
    return out;
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
    if (auto const decided = decided_before(command))
        return *decided;
    auto applied = apply_note(state_.plan, command.note);
    if (!applied.failed.empty())
        return {.outcome = change_outcome::refused,
                .generation = state_.plan.config->generation,
                .failed = std::move(applied.failed)};
    after = std::move(applied.after);
    return {.outcome = change_outcome::accepted, .generation = after.config->generation};
}

void fleet_state::applied(log_entry const& it, context& with)
{
    static std::array const table{on<&fleet_state::apply_commit>(), on<&fleet_state::apply_step>(),
                                  on<&fleet_state::apply_end>(), on<&fleet_state::apply_draining>(),
                                  on<&fleet_state::apply_quarantine>()};
    auto const before = state_.plan.config->generation;
    last_ = {};
    if (!dispatch(*this, table, it.index, it.command, with))
        return;
    last_.index = it.index;
    if (last_.generation == generation_id())
        last_.generation = state_.plan.config->generation;
    check_invariant(state_.plan.config->generation >= before, "the generation only grows");
    report(with);
}

void fleet_state::report(context& with) const
{
    with.counters.add(counter_of(last_.outcome));
    with.counters.set(generation_counter, state_.plan.config->generation.value());
    if (last_.outcome == change_outcome::accepted)
        with.events.record(changed_event,
                           {{"generation", std::to_string(last_.generation.value())}});
    else if (last_.outcome != change_outcome::unchanged)
        with.events.record(refused_event,
                           {{"place", last_.failed.empty() ? "" : last_.failed.front().place}});
}

void fleet_state::apply_commit(log_index, commit_note const& command, context&)
{
    if (auto const decided = decided_before(command))
    {
        last_ = *decided;
        return;
    }
    auto applied = apply_note(state_.plan, command.note);
    if (!applied.failed.empty())
    {
        last_ = {.outcome = change_outcome::refused, .failed = std::move(applied.failed)};
        return;
    }
    put_in_force(std::move(applied.after));
    for (auto& it : applied.ended)
        remember(std::move(it));
    remember({.number = command.note.number,
              .content = command.content,
              .generation = state_.plan.config->generation,
              .comment = command.note.comment});
    last_ = {.outcome = change_outcome::accepted};
}

void fleet_state::put_in_force(fleet_plan after)
{
    check_invariant(after.config->generation.value() == state_.plan.config->generation.value() + 1,
                    "a change makes the next generation");
    state_.plan = std::move(after);
}

void fleet_state::remember(note_record record)
{
    check_invariant(!state_.notes.contains(record.number), "one note a number");
    state_.notes.emplace(record.number, std::move(record));
    if (state_.notes.size() <= notes_kept)
        return;
    state_.forgotten = state_.notes.begin()->first;
    state_.notes.erase(state_.notes.begin());
}

void fleet_state::remember(ended_move ended)
{
    state_.ended.push_back(std::move(ended));
    if (state_.ended.size() > ended_moves_kept)
        state_.ended.pop_front();
}

fleet_config fleet_state::next_config() const
{
    fleet_config out = *state_.plan.config;
    out.generation = generation_id(out.generation.value() + 1);
    return out;
}

void fleet_state::put_in_force(fleet_config config)
{
    auto after = state_.plan;
    after.config = std::make_shared<fleet_config const>(std::move(config));
    put_in_force(std::move(after));
    last_ = {.outcome = change_outcome::accepted};
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
        last_ = refuse("/move", "a move that is running");
        return;
    }
    if (command.share < per_mille(0) || command.share > move->terms.cap)
    {
        last_ = refuse("/share", "a share within the move's cap");
        return;
    }
    auto config = next_config();
    auto& route = config.routes.at(command.move.route);
    if (route.next_share == command.share)
    {
        last_ = {.outcome = change_outcome::unchanged};
        return;
    }
    route.next_share = command.share;
    put_in_force(std::move(config));
}

void fleet_state::apply_end(log_index, end_move const& command, context&)
{
    auto const* const move = find_move(command.move);
    if (move == nullptr)
    {
        last_ = refuse("/move", "a move that is running");
        return;
    }
    auto config = next_config();
    auto& route = config.routes.at(command.move.route);
    if (command.outcome == move_outcome::done)
        route.version = move->terms.version;
    route.next = version_id();
    route.next_share = per_mille(0);
    remember({.move = command.move,
              .order = *move,
              .outcome = command.outcome,
              .evidence = command.evidence,
              .ended = config.generation});
    state_.plan.moves.erase(command.move.route);
    put_in_force(std::move(config));
}

template <class T>
void fleet_state::apply_member(std::set<T> fleet_config::*all, T const& it, bool present)
{
    if ((state_.plan.config.get()->*all).contains(it) == present)
    {
        last_ = {.outcome = change_outcome::unchanged};
        return;
    }
    auto config = next_config();
    if (present)
        (config.*all).insert(it);
    else
        (config.*all).erase(it);
    put_in_force(std::move(config));
}

void fleet_state::apply_draining(log_index, set_draining const& command, context&)
{
    apply_member(&fleet_config::draining, command.instance, command.draining);
}

void fleet_state::apply_quarantine(log_index, set_quarantine const& command, context&)
{
    apply_member(&fleet_config::quarantined, command.fingerprint, command.quarantined);
}

any_message fleet_state::save() const
{
    return any_message::of(state_);
}

void fleet_state::load(std::vector<any_message> const& parts, context& with)
{
    for (auto const& it : parts)
    {
        auto const* const part = it.get<fleet_snapshot>();
        if (part == nullptr)
            continue;
        check_invariant(part->plan.config->generation >= state_.plan.config->generation,
                        "a snapshot does not take the generation back");
        state_ = *part;
        last_ = {};
        with.counters.set(generation_counter, state_.plan.config->generation.value());
        with.events.record(
            loaded_event, {{"generation", std::to_string(state_.plan.config->generation.value())}});
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
