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
            "Milliseconds to wait for the commit of an operator's release note before the answer "
            "is that its outcome is unknown and the operator should send it again."),
    }};

kernel::counter_kind const submitted_counter{
    "notes.submitted", "Release notes that operators submitted to this replica."};
kernel::counter_kind const resent_counter{
    "notes.resent",
    "Submissions of a release note that was committed already; each got the first answer "
    "again."};
kernel::counter_kind const refused_counter{
    "notes.refused",
    "Release notes that were refused, since they are invalid or do not fit the state."};
kernel::counter_kind const conflict_counter{
    "notes.conflict",
    "Release notes whose number belongs to another note or whose base is not the newest."};
kernel::counter_kind const not_leading_counter{
    "notes.not_leading", "Release notes submitted to a replica that may not act as leader."};

kernel::event_kind const accepted_event{
    {.number = 610,
     .name = "note.accepted",
     .level = kernel::severity::info,
     .meaning = "An operator's release note was answered as accepted: it is committed.",
     .action = "None."}};
kernel::event_kind const refused_event{
    {.number = 611,
     .name = "note.refused",
     .level = kernel::severity::warning,
     .meaning = "A release note was refused as a whole; no part of it is in force.",
     .action = "Correct the note at the places that the answer names and send it again."}};
kernel::event_kind const conflict_event{
    {.number = 612,
     .name = "note.conflict",
     .level = kernel::severity::warning,
     .meaning = "A release note's number belongs to another note, or its base is not the newest.",
     .action =
         "Look at the note that the answer names, and send this one again with a new number or "
         "base."}};

/// Identifies a note whose commit is pending.
struct note_identity
{
    note_number number;
    digest content;
};

/// Accepts release notes from operators, proposes those that fit the state, and answers once
/// they are committed. A note that is sent again gets the answer of the first submission.
///
/// Thread safety: the decision core's thread.
class release_notes final : public component
{
public:
    explicit release_notes(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(notes_section))
    {
    }

    bool asked(operator_asked const& request, context& ctx) override
    {
        static std::array const table{on<&release_notes::submit>(), on<&release_notes::check>(),
                                      on<&release_notes::find>()};
        return dispatch(*this, table, request.id, request.body, ctx);
    }

    void applied(log_entry const& entry, context& ctx) override
    {
        auto const& result = state().last_change();
        pending_.settle(
            entry,
            [&](operator_request_id id, note_identity const& identity)
            { answer(id, identity.number, result, ctx); },
            ctx);
    }

    void following(context& ctx) override { pending_.abandon(ctx); }
    void load(std::vector<any_message> const&, context& ctx) override { pending_.abandon(ctx); }
    void tick(context& ctx) override { pending_.expire(ctx); }

private:
    fleet_state_view& state() { return services_.require<fleet_state_view>(); }
    replicated_log& log() { return services_.require<replicated_log>(); }

    void submit(operator_request_id id, note_submission const& submission, context& ctx)
    {
        ctx.counters.add(submitted_counter);
        commit_note command{submission.note, content_digest(submission.note)};
        if (auto const* const committed = state().find_note(submission.note.number))
            return answer_from_record(id, command, *committed, ctx);
        if (!log().may_act(ctx.now))
            return answer_not_leading(id, ctx);
        if (join_pending(id, command))
            return;
        fleet_plan after;
        auto result = state().try_note(command, after);
        check_deadlines(submission, result);
        if (result.outcome != change_outcome::accepted)
            return answer(id, submission.note.number, result, ctx);
        propose(id, std::move(command), ctx);
    }

    /// Answers from the record of a committed note with this number. A committed note does not
    /// change, so that any replica may answer.
    void answer_from_record(operator_request_id id, commit_note const& command,
                            note_record const& committed, context& ctx)
    {
        bool const same = committed.content == command.content;
        if (same)
            ctx.counters.add(resent_counter);
        change_result const result{.outcome =
                                       same ? change_outcome::accepted : change_outcome::conflict,
                                   .generation = committed.generation,
                                   .winner = committed};
        answer(id, command.note.number, result, ctx);
    }

    void answer_not_leading(operator_request_id id, context& ctx)
    {
        ctx.counters.add(not_leading_counter);
        auto leader = log().leader();
        // This replica is becoming leader or stepping down, so that it knows no other leader.
        if (leader == ctx.self.self.id)
            leader = std::nullopt;
        ctx.answer(id, not_leading{leader});
    }

    /// Adds the request to the pending one for the same note, if there is one. Returns whether
    /// there is.
    bool join_pending(operator_request_id id, commit_note const& command)
    {
        auto* const same = pending_.find(
            [&](auto const& it) {
                return it.about.number == command.note.number &&
                       it.about.content == command.content;
            });
        if (same != nullptr)
            same->askers.push_back(id);
        return same != nullptr;
    }

    void propose(operator_request_id id, commit_note command, context& ctx)
    {
        note_identity const identity{command.note.number, command.content};
        auto const term = log().term();
        auto const index = log().propose(any_message::of(std::move(command)));
        if (!index)
            return answer_not_leading(id, ctx);
        // A group with one voter may commit the entry within propose().
        if (state().last_change().index == *index)
            return answer(id, identity.number, state().last_change(), ctx);
        pending_.add({*index, term, ctx.now + config_.answer_timeout, identity, {id}});
    }

    void check(operator_request_id id, note_check const& query, context& ctx)
    {
        fleet_plan after;
        commit_note const command{query.note, content_digest(query.note)};
        auto result = state().try_note(command, after);
        check_deadlines({query.note, query.received}, result);
        note_preview out{
            .number = query.note.number, .result = std::move(result), .differences = {}};
        if (out.result.outcome == change_outcome::accepted && !out.result.winner)
            out.differences = internal::differences_of({state().config(), state().moves()}, after);
        ctx.answer(id, std::move(out));
    }

    void find(operator_request_id id, note_query const& query, context& ctx)
    {
        note_found out{.number = query.number, .record = std::nullopt};
        if (auto const* const record = state().find_note(query.number))
            out.record = *record;
        ctx.answer(id, std::move(out));
    }

    /// Refuses moves whose deadline has passed. Only the front end knows the wall-clock time, so
    /// this cannot be checked again when the note is applied; a move whose deadline has passed
    /// by then is paced at the minimum dwell.
    static void check_deadlines(note_submission const& submission, change_result& result)
    {
        if (result.outcome == change_outcome::conflict || result.winner)
            return;
        auto const require_future = [&](utc_time deadline, std::string const& place)
        {
            if (deadline > submission.received)
                return;
            result.outcome = change_outcome::refused;
            result.failed.push_back({.place = place, .expected = "a deadline in the future"});
        };
        for (auto const& [id, move] : submission.note.add.moves)
            require_future(move.deadline, "/add/moves/" + id.value() + "/deadline");
        for (auto const& [id, move] : submission.note.change.moves)
            if (move.deadline)
                require_future(*move.deadline, "/change/moves/" + id.value() + "/deadline");
    }

    static void answer(operator_request_id id, note_number number, change_result const& result,
                       context& ctx)
    {
        report(number, result, ctx);
        ctx.answer(id, note_answer{number, result});
    }

    static void report(note_number number, change_result const& result, context& ctx)
    {
        auto const text = std::to_string(number.value());
        if (result.outcome == change_outcome::accepted)
            return ctx.events.record(
                accepted_event,
                {{"note", text}, {"generation", std::to_string(result.generation.value())}});
        if (result.outcome == change_outcome::conflict)
        {
            ctx.counters.add(conflict_counter);
            return ctx.events.record(conflict_event, {{"note", text}});
        }
        ctx.counters.add(refused_counter);
        ctx.events.record(refused_event,
                          {{"note", text}, {"errors", std::to_string(result.failed.size())}});
    }

    kernel::service_map& services_;
    release_notes_settings const& config_;
    pending_requests<note_identity> pending_;
};

component_registrar<release_notes> const registration{"release_notes",
                                                      component_order::release_notes};

} // namespace

} // namespace mulberryrudder::control
