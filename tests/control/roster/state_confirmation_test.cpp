#include "plugins/control/roster/state_confirmation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

class state_confirmation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_confirmation_test);
    CPPUNIT_TEST(a_report_counts_from_the_message_that_it_answers);
    CPPUNIT_TEST(reports_without_a_newer_echo_confirm_nothing_new);
    CPPUNIT_TEST(a_report_of_a_newer_state_counts_once_that_state_is_held);
    CPPUNIT_TEST(the_age_of_a_report_is_subtracted);
    CPPUNIT_TEST(an_unknown_echo_confirms_nothing);
    CPPUNIT_TEST(messages_in_quick_succession_count_as_sent_early);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (std::uint64_t n = 1; n != 11; ++n)
            confirmation_.record_sent(sequence_id(n), sent(n));
    }

    void a_report_counts_from_the_message_that_it_answers()
    {
        CPPUNIT_ASSERT(!confirmed());
        confirmation_.record_report(sequence_id(4), held_, milliseconds(0));
        CPPUNIT_ASSERT(confirmed() == sent(4));
        confirmation_.record_report(sequence_id(7), held_, milliseconds(0));
        CPPUNIT_ASSERT(confirmed() == sent(7));
    }

    // Guards against a violation of HOME and CONFIG: messages of the others still arrive at an
    // instance whose own messages are lost, and do not mean that it has no older state.
    void reports_without_a_newer_echo_confirm_nothing_new()
    {
        for (int n = 0; n != 100; ++n)
            confirmation_.record_report(sequence_id(4), held_, milliseconds(0));
        CPPUNIT_ASSERT(confirmed() == sent(4));
    }

    void a_report_of_a_newer_state_counts_once_that_state_is_held()
    {
        generation_id const next(held_.value() + 1);
        confirmation_.record_report(sequence_id(3), held_, milliseconds(0));
        confirmation_.record_report(sequence_id(5), next, milliseconds(0));
        CPPUNIT_ASSERT(confirmed() == sent(3));
        CPPUNIT_ASSERT(confirmation_.confirmed_at(next) == sent(5));
    }

    void the_age_of_a_report_is_subtracted()
    {
        confirmation_.record_report(sequence_id(6), held_, milliseconds(70));
        CPPUNIT_ASSERT(confirmed() == sent(6) - milliseconds(70));
        confirmation_.record_report(sequence_id(6), held_, milliseconds(90));
        CPPUNIT_ASSERT_MESSAGE("an older one changes nothing",
                               confirmed() == sent(6) - milliseconds(70));
    }

    void an_unknown_echo_confirms_nothing()
    {
        confirmation_.record_report(sequence_id(0), held_, milliseconds(0));
        CPPUNIT_ASSERT(!confirmed());
    }

    void messages_in_quick_succession_count_as_sent_early()
    {
        confirmation_.record_sent(sequence_id(11), sent(10) + milliseconds(1));
        confirmation_.record_report(sequence_id(11), held_, milliseconds(0));
        CPPUNIT_ASSERT(confirmed() == sent(10));
    }

private:
    generation_id const held_{9};

    static instant sent(std::uint64_t number)
    {
        return instant(seconds(1000)) + milliseconds(200 * static_cast<std::int64_t>(number));
    }

    std::optional<instant> confirmed() { return confirmation_.confirmed_at(held_); }

    state_confirmation confirmation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_confirmation_test);

} // namespace

} // namespace mulberryrudder::control
