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
    CPPUNIT_TEST(an_equal_number_with_other_content_shows_what_won);
    CPPUNIT_TEST(of_two_proposed_notes_with_an_equal_number_the_first_committed_wins);
    CPPUNIT_TEST(numbers_may_have_gaps_and_come_late);
    CPPUNIT_TEST(an_old_base_is_a_conflict);
    CPPUNIT_TEST(a_wrong_note_is_refused_as_a_whole_with_every_error);
    CPPUNIT_TEST(a_replica_that_does_not_lead_names_the_leader);
    CPPUNIT_TEST(a_replica_that_does_not_lead_still_tells_what_was_committed);
    CPPUNIT_TEST(a_lost_lead_answers_unknown);
    CPPUNIT_TEST(a_command_that_another_one_replaced_answers_unknown);
    CPPUNIT_TEST(no_commit_in_time_answers_unknown);
    CPPUNIT_TEST(a_deadline_in_the_past_is_refused);
    CPPUNIT_TEST(a_resend_after_the_deadline_still_gets_the_first_answer);
    CPPUNIT_TEST(a_check_changes_nothing_and_lists_the_differences);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_answer_comes_only_after_the_commit()
    {
        replica it;
        auto const id = it.ask(submission(first_note()));
        it.tick();
        CPPUNIT_ASSERT(!it.has_answer(id));
        it.log().commit_all();
        it.tick();
        expect(change_outcome::accepted, it.answer<answer>(id));
    }

    void a_resend_gets_the_first_answer()
    {
        replica it;
        auto const first = it.commit<answer>(submission(first_note()));
        it.commit<answer>(submission(rate_note(2, 5000)));
        auto const second = it.commit<answer>(submission(first_note()));
        expect(change_outcome::accepted, second);
        CPPUNIT_ASSERT_EQUAL(first.result.generation.value(), second.result.generation.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.state().config()->generation.value());
    }

    void a_resend_before_the_commit_is_proposed_once()
    {
        replica it;
        auto const first = it.ask(submission(first_note()));
        auto const second = it.ask(submission(first_note()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.log().proposed.size());
        it.log().commit_all();
        it.tick();
        expect(change_outcome::accepted, it.answer<answer>(first));
        expect(change_outcome::accepted, it.answer<answer>(second));
    }

    void an_equal_number_with_other_content_shows_what_won()
    {
        replica it;
        auto note = first_note();
        note.comment = "of the morning shift";
        it.commit<answer>(submission(note));
        auto const lost = it.commit<answer>(submission(rate_note(1, 5000)));
        expect(change_outcome::conflict, lost);
        CPPUNIT_ASSERT(lost.result.winner.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("of the morning shift"), lost.result.winner->comment);
        CPPUNIT_ASSERT_EQUAL(to_hex(content_digest(note)), to_hex(lost.result.winner->content));
    }

    void of_two_proposed_notes_with_an_equal_number_the_first_committed_wins()
    {
        replica it;
        it.commit<answer>(submission(first_note()));
        auto const first = it.ask(submission(rate_note(2, 5000)));
        auto const second = it.ask(submission(rate_note(2, 6000)));
        it.log().commit_all();
        it.tick();
        expect(change_outcome::accepted, it.answer<answer>(first));
        expect(change_outcome::conflict, it.answer<answer>(second));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5000},
                             it.state().config()->customers.at(customer_id("relay")).rate.count());
    }

    void numbers_may_have_gaps_and_come_late()
    {
        replica it;
        expect(change_outcome::accepted, it.commit<answer>(submission(first_note(10))));
        expect(change_outcome::accepted, it.commit<answer>(submission(rate_note(7, 5000))));
    }

    void an_old_base_is_a_conflict()
    {
        replica it;
        it.commit<answer>(submission(first_note()));
        auto note = rate_note(2, 5000);
        note.based_on = generation_id(1);
        auto rival = rate_note(3, 6000);
        rival.based_on = generation_id(1);
        expect(change_outcome::accepted, it.commit<answer>(submission(note)));
        auto const lost = it.commit<answer>(submission(rival));
        expect(change_outcome::conflict, lost);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, lost.result.winner->number.value());
    }

    void a_wrong_note_is_refused_as_a_whole_with_every_error()
    {
        replica it;
        auto note = first_note();
        note.add.customers[customer_id("relay")].burst = millitokens(0);
        note.withdraw.routes.insert(route_id("absent"));
        auto const got = it.commit<answer>(submission(note));
        expect(change_outcome::refused, got);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, got.result.failed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/add/customers/relay/burst"), got.result.failed[0].place);
        CPPUNIT_ASSERT_EQUAL(std::string("/withdraw/routes/absent"), got.result.failed[1].place);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, it.state().config()->generation.value());
    }

    void a_replica_that_does_not_lead_names_the_leader()
    {
        replica it;
        it.log().leads = false;
        it.log().known_leader = instance_id(7);
        auto const got = it.answer<not_leading>(it.ask(submission(first_note())));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, got.leader->value());
    }

    void a_replica_that_does_not_lead_still_tells_what_was_committed()
    {
        replica it;
        it.commit<answer>(submission(first_note()));
        it.log().leads = false;
        expect(change_outcome::accepted, it.answer<answer>(it.ask(submission(first_note()))));
    }

    void a_lost_lead_answers_unknown()
    {
        replica it;
        auto const id = it.ask(submission(first_note()));
        it.log().leads = false;
        it.log().step_down = true;
        it.tick();
        CPPUNIT_ASSERT(it.answer_type(id) == typeid(outcome_unknown));
    }

    void a_command_that_another_one_replaced_answers_unknown()
    {
        replica it;
        auto const id = it.ask(submission(first_note()));
        it.log().committed.push_back(
            {term_id(2), log_index(1), any_message::of(set_draining{instance_id(4), true})});
        it.tick();
        CPPUNIT_ASSERT(it.answer_type(id) == typeid(outcome_unknown));
    }

    void no_commit_in_time_answers_unknown()
    {
        replica it;
        auto const id = it.ask(submission(first_note()));
        it.tick(seconds(60));
        CPPUNIT_ASSERT(it.answer_type(id) == typeid(outcome_unknown));
    }

    void a_deadline_in_the_past_is_refused()
    {
        replica it;
        it.commit<answer>(submission(first_note()));
        auto note = move_note();
        note.add.moves.at(route_id("timing")).deadline = utc_time(sample_now - 1);
        auto const got = it.commit<answer>(submission(note));
        expect(change_outcome::refused, got);
        CPPUNIT_ASSERT_EQUAL(std::string("/add/moves/timing/deadline"), got.result.failed[0].place);
    }

    void a_resend_after_the_deadline_still_gets_the_first_answer()
    {
        replica it;
        it.commit<answer>(submission(first_note()));
        it.commit<answer>(submission(move_note()));
        auto late = submission(move_note());
        late.received = utc_time(sample_deadline + 1);
        expect(change_outcome::accepted, it.commit<answer>(late));
    }

    void a_check_changes_nothing_and_lists_the_differences()
    {
        replica it;
        it.commit<answer>(submission(first_note()));
        auto const got =
            it.commit<note_preview>(note_check{rate_note(2, 5000), utc_time(sample_now)});
        expect_outcome(change_outcome::accepted, got.result.outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.differences.size());
        CPPUNIT_ASSERT_EQUAL(std::string("customers/relay/rate"), got.differences[0].place);
        CPPUNIT_ASSERT_EQUAL(std::string("100 requests/s"), got.differences[0].before);
        CPPUNIT_ASSERT_EQUAL(std::string("5 requests/s"), got.differences[0].after);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.state().config()->generation.value());
    }

private:
    static void expect_outcome(change_outcome wanted, change_outcome got)
    {
        CPPUNIT_ASSERT_EQUAL(to_text(wanted), to_text(got));
    }
    static void expect(change_outcome wanted, answer const& got)
    {
        expect_outcome(wanted, got.result.outcome);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(release_notes_test);

} // namespace

} // namespace mulberryrudder::control::testing
