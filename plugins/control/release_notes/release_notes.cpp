#include "differences.hpp"

#include <mulberryrudder/control/operator_notes.hpp>
#include <mulberryrudder/control/pending_requests.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

struct release_notes_settings
{
    milliseconds answer_timeout{10'000};
};

kernel::section<release_notes_settings> const notes_section{
    "release_notes",
    {
        kernel::field(
            "answer_timeout", &release_notes_settings::answer_timeout, {100, 60'000},
            "Milliseconds to wait for the commit of an operator's request before the answer is "
            "\"unknown, ask again\"."),
    }};

kernel::counter_kind const submitted_counter{"notes.submitted", "Release notes that arrived."};
kernel::counter_kind const resent_counter{
    "notes.resent", "Release notes that were committed before and got their first answer."};
kernel::counter_kind const refused_counter{"notes.refused", "Release notes that do not fit."};
kernel::counter_kind const conflict_counter{
    "notes.conflict", "Release notes whose number was taken or whose base was old."};
kernel::counter_kind const not_leading_counter{
    "notes.not_leading", "Release notes that arrived where they cannot be decided."};

kernel::event_kind const accepted_event{
    {.number = 610,
     .name = "note.accepted",
     .level = kernel::severity::info,
     .meaning = "A release note was committed; its operator is told so.",
     .action = "None."}};
kernel::event_kind const refused_event{
    {.number = 611,
     .name = "note.refused",
     .level = kernel::severity::warning,
     .meaning = "A release note was refused as a whole; nothing of it is in force.",
     .action = "Mend the note at the place that is told and send it again."}};
kernel::event_kind const conflict_event{
    {.number = 612,
     .name = "note.conflict",
     .level = kernel::severity::warning,
     .meaning = "A release note's number was taken by another one, or its base was old.",
     .action = "Look at what won, and send the note again with a new number or base."}};

/// Identifies a note that waits for its commit.
struct note_identity
{
    note_number number;
    digest content;
};

/// Takes release notes, proposes those that fit, and answers once they are committed.
///
/// Thread safety: the decision core's thread.
class release_notes final : public component
{
public:
    explicit release_notes(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(notes_section))
    {
    }

    bool asked(operator_asked const& it, context& with) override
    {
        static std::array const table{on<&release_notes::submit>(), on<&release_notes::check>(),
                                      on<&release_notes::find>()};
        return dispatch(*this, table, it.id, it.body, with);
    }

    void applied(log_entry const& it, context& with) override
    {
        auto const& result = state().last_change();
        pending_.settle(
            it,
            [&](operator_request_id asker, note_identity const& about)
            { answer(asker, about.number, result, with); },
            with);
    }

    void following(context& with) override { pending_.abandon(with); }
    void load(std::vector<any_message> const&, context& with) override { pending_.abandon(with); }
    void tick(context& with) override { pending_.expire(with); }

private:
    fleet_state_view& state() { return services_.require<fleet_state_view>(); }
    replicated_log& log() { return services_.require<replicated_log>(); }

    void submit(operator_request_id asker, note_submission const& it, context& with)
    {
        with.counters.add(submitted_counter);
        commit_note command{it.note, content_digest(it.note)};
        if (auto const* const taken = state().find_note(it.note.number))
            return answer_taken(asker, command, *taken, with);
        if (!log().may_act(with.now))
            return refuse_to_lead(asker, with);
        if (attach(asker, command))
            return;
        fleet_plan after;
        auto result = state().try_note(command, after);
        require_deadlines_ahead(it, result);
        if (result.outcome != change_outcome::accepted)
            return answer(asker, it.note.number, result, with);
        propose(asker, std::move(command), with);
    }

    /// What was committed stays so: any replica may tell of it.
    void answer_taken(operator_request_id asker, commit_note const& command,
                      note_record const& taken, context& with)
    {
        bool const same = taken.content == command.content;
        if (same)
            with.counters.add(resent_counter);
        change_result const result{.outcome =
                                       same ? change_outcome::accepted : change_outcome::conflict,
                                   .generation = taken.generation,
                                   .winner = taken};
        answer(asker, command.note.number, result, with);
    }

    void refuse_to_lead(operator_request_id asker, context& with)
    {
        with.counters.add(not_leading_counter);
        auto leader = log().leader();
        // It is about to lead, or about to stop: nobody else can be named.
        if (leader == with.self.self.id)
            leader = std::nullopt;
        with.answer(asker, not_leading{leader});
    }

    /// Joins a resent note to the one that waits for its commit.
    bool attach(operator_request_id asker, commit_note const& command)
    {
        auto* const same = pending_.find(
            [&](auto const& it) {
                return it.about.number == command.note.number &&
                       it.about.content == command.content;
            });
        if (same != nullptr)
            same->askers.push_back(asker);
        return same != nullptr;
    }

    void propose(operator_request_id asker, commit_note command, context& with)
    {
        note_identity const about{command.note.number, command.content};
        auto const term = log().term();
        auto const index = log().propose(any_message::of(std::move(command)));
        if (!index)
            return refuse_to_lead(asker, with);
        // A group of one may commit while it proposes.
        if (state().last_change().index == *index)
            return answer(asker, about.number, state().last_change(), with);
        pending_.add({*index, term, with.now + config_.answer_timeout, about, {asker}});
    }

    void check(operator_request_id asker, note_check const& it, context& with)
    {
        fleet_plan after;
        commit_note const command{it.note, content_digest(it.note)};
        auto result = state().try_note(command, after);
        require_deadlines_ahead({it.note, it.received}, result);
        note_preview out{.number = it.note.number, .result = std::move(result), .differences = {}};
        if (out.result.outcome == change_outcome::accepted && !out.result.winner)
            out.differences = internal::differences_of({state().config(), state().moves()}, after);
        with.answer(asker, std::move(out));
    }

    void find(operator_request_id asker, note_query const& it, context& with)
    {
        note_found out{.number = it.number, .record = std::nullopt};
        if (auto const* const record = state().find_note(it.number))
            out.record = *record;
        with.answer(asker, std::move(out));
    }

    /// Only the front end knows the wall clock, so this cannot be checked again when
    /// the note is applied; the move itself copes with a deadline that has passed.
    static void require_deadlines_ahead(note_submission const& it, change_result& result)
    {
        if (result.outcome == change_outcome::conflict || result.winner)
            return;
        auto const require = [&](utc_time deadline, std::string const& place)
        {
            if (deadline > it.received)
                return;
            result.outcome = change_outcome::refused;
            result.failed.push_back({.place = place, .expected = "a deadline in the future"});
        };
        for (auto const& [id, move] : it.note.add.moves)
            require(move.deadline, "/add/moves/" + id.value() + "/deadline");
        for (auto const& [id, move] : it.note.change.moves)
            if (move.deadline)
                require(*move.deadline, "/change/moves/" + id.value() + "/deadline");
    }

    static void answer(operator_request_id asker, note_number number, change_result const& result,
                       context& with)
    {
        report(number, result, with);
        with.answer(asker, note_answer{number, result});
    }

    static void report(note_number number, change_result const& result, context& with)
    {
        auto const text = std::to_string(number.value());
        if (result.outcome == change_outcome::accepted)
            return with.events.record(
                accepted_event,
                {{"note", text}, {"generation", std::to_string(result.generation.value())}});
        if (result.outcome == change_outcome::conflict)
        {
            with.counters.add(conflict_counter);
            return with.events.record(conflict_event, {{"note", text}});
        }
        with.counters.add(refused_counter);
        with.events.record(refused_event,
                           {{"note", text}, {"errors", std::to_string(result.failed.size())}});
    }

    kernel::service_map& services_;
    release_notes_settings const& config_;
    pending_requests<note_identity> pending_;
};

component_registrar<release_notes> const entered{"release_notes", component_order::release_notes};

} // namespace

} // namespace mulberryrudder::control
