#include "../support/replica.hpp"
#include "../support/sample_notes.hpp"

#include <mulberryrudder/control/operator_answers.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

using answer = note_answer;

std::string to_text(change_outcome outcome)
{
    static constexpr char const* names[] = {"accepted", "unchanged", "refused", "conflict"};
    return names[static_cast<std::size_t>(outcome)];
}

class release_notes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(release_notes_test);
    CPPUNIT_TEST(an_answer_comes_only_after_the_commit);
    CPPUNIT_TEST(a_resend_gets_the_first_answer);
    CPPUNIT_TEST(a_resend_before_the_commit_is_proposed_once);
    CPPUNIT_TEST(an_equal_number_with_other_content_names_the_committed_note);
    CPPUNIT_TEST(of_two_proposed_notes_with_an_equal_number_the_first_committed_wins);
    CPPUNIT_TEST(numbers_may_have_gaps_and_arrive_out_of_order);
    CPPUNIT_TEST(an_obsolete_base_is_a_conflict);
    CPPUNIT_TEST(a_step_of_a_move_does_not_make_a_base_obsolete);
    CPPUNIT_TEST(a_base_that_is_not_reached_yet_is_a_conflict);
    CPPUNIT_TEST(an_invalid_note_is_refused_as_a_whole_with_every_error);
    CPPUNIT_TEST(a_replica_that_does_not_lead_names_the_leader);
    CPPUNIT_TEST(a_replica_that_does_not_lead_answers_for_committed_notes);
    CPPUNIT_TEST(a_pending_note_is_answered_unknown_when_the_leader_steps_down);
    CPPUNIT_TEST(a_replaced_command_is_answered_unknown);
    CPPUNIT_TEST(a_note_without_commit_in_time_is_answered_unknown);
    CPPUNIT_TEST(a_deadline_in_the_past_is_refused);
    CPPUNIT_TEST(a_resend_after_the_deadline_still_gets_the_first_answer);
    CPPUNIT_TEST(a_check_changes_nothing_and_lists_the_differences);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_answer_comes_only_after_the_commit()
    {
        replica member;
        auto const id = member.ask(submission(first_note()));
        member.tick();
        CPPUNIT_ASSERT(!member.has_answer(id));
        member.log().commit_all();
        member.tick();
        expect(change_outcome::accepted, member.answer<answer>(id));
    }

    void a_resend_gets_the_first_answer()
    {
        replica member;
        auto const first = member.commit<answer>(submission(first_note()));
        member.commit<answer>(submission(rate_note(2, 5000)));
        auto const second = member.commit<answer>(submission(first_note()));
        expect(change_outcome::accepted, second);
        CPPUNIT_ASSERT_EQUAL(first.result.generation.value(), second.result.generation.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, member.state().config()->generation.value());
    }

    void a_resend_before_the_commit_is_proposed_once()
    {
        replica member;
        auto const first = member.ask(submission(first_note()));
        auto const second = member.ask(submission(first_note()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, member.log().proposed.size());
        member.log().commit_all();
        member.tick();
        expect(change_outcome::accepted, member.answer<answer>(first));
        expect(change_outcome::accepted, member.answer<answer>(second));
    }

    void an_equal_number_with_other_content_names_the_committed_note()
    {
        replica member;
        auto note = first_note();
        note.comment = "of the morning shift";
        member.commit<answer>(submission(note));
        auto const conflicting = member.commit<answer>(submission(rate_note(1, 5000)));
        expect(change_outcome::conflict, conflicting);
        CPPUNIT_ASSERT(conflicting.result.winner.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("of the morning shift"),
                             conflicting.result.winner->comment);
        CPPUNIT_ASSERT_EQUAL(to_hex(content_digest(note)),
                             to_hex(conflicting.result.winner->content));
    }

    void of_two_proposed_notes_with_an_equal_number_the_first_committed_wins()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        auto const first = member.ask(submission(rate_note(2, 5000)));
        auto const second = member.ask(submission(rate_note(2, 6000)));
        member.log().commit_all();
        member.tick();
        expect(change_outcome::accepted, member.answer<answer>(first));
        expect(change_outcome::conflict, member.answer<answer>(second));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t{5000},
            member.state().config()->customers.at(customer_id("relay")).rate.count());
    }

    void numbers_may_have_gaps_and_arrive_out_of_order()
    {
        replica member;
        expect(change_outcome::accepted, member.commit<answer>(submission(first_note(10))));
        expect(change_outcome::accepted, member.commit<answer>(submission(rate_note(7, 5000))));
    }

    void an_obsolete_base_is_a_conflict()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        auto note = rate_note(2, 5000);
        note.based_on = generation_id(1);
        auto rival = rate_note(3, 6000);
        rival.based_on = generation_id(1);
        expect(change_outcome::accepted, member.commit<answer>(submission(note)));
        auto const conflicting = member.commit<answer>(submission(rival));
        expect(change_outcome::conflict, conflicting);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, conflicting.result.winner->number.value());
    }

    void a_step_of_a_move_does_not_make_a_base_obsolete()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        member.commit<answer>(submission(move_note()));
        member.state().propose_change(
            step_move{{route_id("timing"), note_number(2)}, per_mille(100)});
        auto note = rate_note(3, 5000);
        note.based_on = generation_id(2);
        auto const actual = member.commit<answer>(submission(note));
        expect(change_outcome::accepted, actual);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, actual.result.generation.value());
    }

    void a_base_that_is_not_reached_yet_is_a_conflict()
    {
        replica member;
        auto note = first_note();
        note.based_on = generation_id(1);
        expect(change_outcome::conflict, member.commit<answer>(submission(note)));
    }

    void an_invalid_note_is_refused_as_a_whole_with_every_error()
    {
        replica member;
        auto note = first_note();
        note.add.customers[customer_id("relay")].burst = millitokens(0);
        note.withdraw.routes.insert(route_id("absent"));
        auto const actual = member.commit<answer>(submission(note));
        expect(change_outcome::refused, actual);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actual.result.failed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/add/customers/relay/burst"),
                             actual.result.failed[0].place);
        CPPUNIT_ASSERT_EQUAL(std::string("/withdraw/routes/absent"), actual.result.failed[1].place);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, member.state().config()->generation.value());
    }

    void a_replica_that_does_not_lead_names_the_leader()
    {
        replica member;
        member.log().leads = false;
        member.log().known_leader = instance_id(7);
        auto const actual = member.answer<not_leading>(member.ask(submission(first_note())));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, actual.leader->value());
    }

    void a_replica_that_does_not_lead_answers_for_committed_notes()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        member.log().leads = false;
        expect(change_outcome::accepted,
               member.answer<answer>(member.ask(submission(first_note()))));
    }

    void a_pending_note_is_answered_unknown_when_the_leader_steps_down()
    {
        replica member;
        auto const id = member.ask(submission(first_note()));
        member.log().leads = false;
        member.log().step_down = true;
        member.tick();
        CPPUNIT_ASSERT(member.answer_type(id) == typeid(outcome_unknown));
    }

    void a_replaced_command_is_answered_unknown()
    {
        replica member;
        auto const id = member.ask(submission(first_note()));
        member.log().committed.push_back(
            {term_id(2), log_index(1), any_message::of(set_draining{instance_id(4), true})});
        member.tick();
        CPPUNIT_ASSERT(member.answer_type(id) == typeid(outcome_unknown));
    }

    void a_note_without_commit_in_time_is_answered_unknown()
    {
        replica member;
        auto const id = member.ask(submission(first_note()));
        member.tick(seconds(60));
        CPPUNIT_ASSERT(member.answer_type(id) == typeid(outcome_unknown));
    }

    void a_deadline_in_the_past_is_refused()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        auto note = move_note();
        note.add.moves.at(route_id("timing")).deadline = utc_time(sample_now - 1);
        auto const actual = member.commit<answer>(submission(note));
        expect(change_outcome::refused, actual);
        CPPUNIT_ASSERT_EQUAL(std::string("/add/moves/timing/deadline"),
                             actual.result.failed[0].place);
    }

    void a_resend_after_the_deadline_still_gets_the_first_answer()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        member.commit<answer>(submission(move_note()));
        auto late = submission(move_note());
        late.received = utc_time(sample_deadline + 1);
        expect(change_outcome::accepted, member.commit<answer>(late));
    }

    void a_check_changes_nothing_and_lists_the_differences()
    {
        replica member;
        member.commit<answer>(submission(first_note()));
        auto const actual =
            member.commit<note_preview>(note_check{rate_note(2, 5000), utc_time(sample_now)});
        expect_outcome(change_outcome::accepted, actual.result.outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actual.differences.size());
        CPPUNIT_ASSERT_EQUAL(std::string("customers/relay/rate"), actual.differences[0].place);
        CPPUNIT_ASSERT_EQUAL(std::string("100 requests/s"), actual.differences[0].before);
        CPPUNIT_ASSERT_EQUAL(std::string("5 requests/s"), actual.differences[0].after);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, member.state().config()->generation.value());
    }

private:
    static void expect_outcome(change_outcome expected, change_outcome actual)
    {
        CPPUNIT_ASSERT_EQUAL(to_text(expected), to_text(actual));
    }
    static void expect(change_outcome expected, answer const& actual)
    {
        expect_outcome(expected, actual.result.outcome);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(release_notes_test);

} // namespace

} // namespace mulberryrudder::control::testing
