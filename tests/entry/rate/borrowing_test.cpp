#include <plugins/entry/rate/borrowing.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

instant at(std::int64_t ms)
{
    return instant(milliseconds(ms));
}

messages::borrow_grant loan(messages::borrow_request const& answers)
{
    return {
        .sequence = answers.sequence, .lent = millitokens(5000), .valid_for = milliseconds(200)};
}

class borrowing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(borrowing_test);
    CPPUNIT_TEST(a_loan_counts_once);
    CPPUNIT_TEST(a_loan_after_its_time_does_not_count);
    CPPUNIT_TEST(a_loan_after_the_question_was_given_up_does_not_count);
    CPPUNIT_TEST(the_next_question_settles_the_last_loan);
    CPPUNIT_TEST(questions_in_a_row_are_put_off_longer_up_to_a_bound);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_loan_counts_once()
    {
        borrowing it(settings_);
        auto const asked = it.ask(at(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, it.answered(loan(asked), at(10))->count());
        CPPUNIT_ASSERT(!it.answered(loan(asked), at(11)));
    }

    void a_loan_after_its_time_does_not_count()
    {
        borrowing it(settings_);
        auto const asked = it.ask(at(0));
        CPPUNIT_ASSERT(!it.answered(loan(asked), at(200)));
    }

    void a_loan_after_the_question_was_given_up_does_not_count()
    {
        borrowing it(settings_);
        auto const asked = it.ask(at(0));
        CPPUNIT_ASSERT(it.give_up(at(300)));
        CPPUNIT_ASSERT(!it.answered(loan(asked), at(300)));
    }

    void the_next_question_settles_the_last_loan()
    {
        borrowing it(settings_);
        auto const asked = it.ask(at(0));
        CPPUNIT_ASSERT(it.answered(loan(asked), at(10)));
        CPPUNIT_ASSERT_EQUAL(asked.sequence.value(), it.ask(at(20)).settled.value());
    }

    void questions_in_a_row_are_put_off_longer_up_to_a_bound()
    {
        random_source random(1);
        borrowing it(settings_);
        for (int n = 0; n != 20; ++n)
            it.put_off(at(0), random);
        CPPUNIT_ASSERT(!it.may_ask(at(159)));
        CPPUNIT_ASSERT(it.may_ask(at(320)));
    }

private:
    rate_settings settings_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(borrowing_test);

} // namespace

} // namespace mulberryrudder::entry
