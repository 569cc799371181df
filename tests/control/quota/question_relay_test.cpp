#include "plugins/control/quota/question_relay.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

customer_id const office("office");
customer_id const shop("shop");

class question_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(question_relay_test);
    CPPUNIT_TEST(questions_of_several_entries_are_joined);
    CPPUNIT_TEST(grants_are_divided_in_the_order_of_the_questions);
    CPPUNIT_TEST(requests_that_are_expected_are_divided_apart_from_those_that_wait);
    CPPUNIT_TEST(what_entries_admitted_alone_is_told_in_one_sum);
    CPPUNIT_TEST(an_answer_is_divided_once);
    CPPUNIT_TEST(an_overdue_answer_is_ignored);
    CPPUNIT_TEST(questions_that_wait_can_be_taken_back);
    CPPUNIT_TEST(overdue_questions_are_taken_back_once);
    CPPUNIT_TEST(a_question_that_nobody_decided_is_taken_back_once);
    CPPUNIT_TEST(questions_that_are_put_back_come_before_those_that_wait);
    CPPUNIT_TEST_SUITE_END();

public:
    void questions_of_several_entries_are_joined()
    {
        auto const joined = ask();
        CPPUNIT_ASSERT(joined.relayed);
        CPPUNIT_ASSERT(joined.wanted.at(office) == requests(5));
        CPPUNIT_ASSERT(joined.wanted.at(shop) == requests(1));
        CPPUNIT_ASSERT(relay_.is_empty());
    }

    void grants_are_divided_in_the_order_of_the_questions()
    {
        ask();
        auto const replies = relay_.divide(answer(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replies.size());
        CPPUNIT_ASSERT(replies[0].entry == instance_id(50));
        CPPUNIT_ASSERT(replies[0].answer.number == sequence_id(7));
        CPPUNIT_ASSERT(replies[0].answer.grants.front().admitted == requests(3));
        CPPUNIT_ASSERT(replies[1].entry == instance_id(51));
        CPPUNIT_ASSERT(replies[1].answer.grants.front().admitted == requests(1));
        CPPUNIT_ASSERT(replies[1].answer.pressed.has_value());
        // Nothing is decided about the customer that the answer omits.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies[1].answer.grants.size());
    }

    // Guards against QUOTA: parts that were handed out to the entries must not add up to more than
    // the leader admitted.
    void requests_that_are_expected_are_divided_apart_from_those_that_wait()
    {
        relay_.add(instance_id(50), {.number = sequence_id(7),
                                     .wanted = {{office, requests(1)}},
                                     .expected = {{office, requests(4)}}});
        relay_.add(instance_id(51),
                   {.number = sequence_id(8), .wanted = {}, .expected = {{office, requests(4)}}});
        relay_.add(instance_id(52),
                   {.number = sequence_id(9), .wanted = {{shop, requests(1)}}, .expected = {}});
        auto const joined = relay_.join(sequence_id(100), instance_id(3), instant(seconds(1001)));
        CPPUNIT_ASSERT(joined.wanted.at(office) == requests(1));
        CPPUNIT_ASSERT(joined.expected.at(office) == requests(8));
        auto const replies = relay_.divide(
            {.number = sequence_id(100),
             .grants = {{.customer = office, .admitted = requests(1), .ahead = requests(5)}},
             .pressed = std::vector<customer_id>{}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, replies.size());
        CPPUNIT_ASSERT(replies[0].answer.grants.front().admitted == requests(1));
        CPPUNIT_ASSERT(replies[0].answer.grants.front().ahead == requests(4));
        CPPUNIT_ASSERT(replies[1].answer.grants.front().admitted == requests(0));
        CPPUNIT_ASSERT(replies[1].answer.grants.front().ahead == requests(1));
        CPPUNIT_ASSERT(replies[2].answer.grants.empty());
    }

    // Guards against QUOTA: what entries admitted alone is told until it is answered; what they
    // used of that which was admitted ahead is told once, so that it is never counted twice.
    void what_entries_admitted_alone_is_told_in_one_sum()
    {
        for (std::uint32_t const n : {50, 51})
            relay_.add(instance_id(n), {.number = sequence_id(7),
                                        .wanted = {{office, requests(1)}},
                                        .used_ahead = {{office, requests(3)}},
                                        .spent = {{office, requests(2)}}});
        auto const joined = relay_.join(sequence_id(100), instance_id(3), instant(seconds(1001)));
        CPPUNIT_ASSERT(joined.spent.at(office) == requests(4));
        CPPUNIT_ASSERT(joined.used_ahead.at(office) == requests(6));
        relay_.put_back(relay_.take_joined(sequence_id(100)));
        auto const again = relay_.join(sequence_id(101), instance_id(4), instant(seconds(1002)));
        CPPUNIT_ASSERT(again.spent.at(office) == requests(4));
        CPPUNIT_ASSERT(again.used_ahead.empty());
    }

    // Guards against requests that are admitted twice: a message may be delivered again.
    void an_answer_is_divided_once()
    {
        ask();
        relay_.divide(answer(4));
        CPPUNIT_ASSERT(relay_.divide(answer(4)).empty());
    }

    void an_overdue_answer_is_ignored()
    {
        ask();
        relay_.take_overdue(instant(seconds(1001)));
        CPPUNIT_ASSERT(relay_.divide(answer(4)).empty());
    }

    void questions_that_wait_can_be_taken_back()
    {
        relay_.add(instance_id(50), {.number = sequence_id(7), .wanted = {{office, requests(3)}}});
        auto const taken = relay_.take_waiting();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
        CPPUNIT_ASSERT(taken.front().entry == instance_id(50));
        CPPUNIT_ASSERT(taken.front().question.number == sequence_id(7));
        CPPUNIT_ASSERT(taken.front().question.wanted.at(office) == requests(3));
        CPPUNIT_ASSERT(relay_.is_empty());
    }

    // Guards against requests that are decided twice, by the leader and without it.
    void overdue_questions_are_taken_back_once()
    {
        ask();
        CPPUNIT_ASSERT(relay_.take_overdue(instant(milliseconds(1'000'999))).empty());
        auto const taken = relay_.take_overdue(instant(seconds(1001)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
        CPPUNIT_ASSERT(taken.front().recipient == instance_id(3));
        auto const& parts = taken.front().parts;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parts.size());
        CPPUNIT_ASSERT(parts.front().entry == instance_id(50));
        CPPUNIT_ASSERT(parts.back().entry == instance_id(51));
        CPPUNIT_ASSERT(relay_.take_overdue(instant(seconds(1001))).empty());
    }

    void questions_that_are_put_back_come_before_those_that_wait()
    {
        ask();
        relay_.add(instance_id(52), {.number = sequence_id(8), .wanted = {{office, requests(1)}}});
        relay_.put_back(relay_.take_joined(sequence_id(100)));
        auto const taken = relay_.take_waiting();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, taken.size());
        CPPUNIT_ASSERT(taken.front().entry == instance_id(50));
        CPPUNIT_ASSERT(taken.back().entry == instance_id(52));
    }

    // Guards against requests that are decided twice: the receiver was no leader.
    void a_question_that_nobody_decided_is_taken_back_once()
    {
        ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, relay_.take_joined(sequence_id(100)).size());
        CPPUNIT_ASSERT(relay_.take_joined(sequence_id(100)).empty());
        CPPUNIT_ASSERT(relay_.divide(answer(4)).empty());
    }

private:
    messages::quota_question ask()
    {
        relay_.add(instance_id(50), {.number = sequence_id(7), .wanted = {{office, requests(3)}}});
        relay_.add(instance_id(51), {.number = sequence_id(9),
                                     .wanted = {{office, requests(2)}, {shop, requests(1)}}});
        return relay_.join(sequence_id(100), instance_id(3), instant(seconds(1001)));
    }

    static messages::quota_answer answer(std::int64_t admitted)
    {
        return {.number = sequence_id(100),
                .grants = {{.customer = office, .admitted = requests(admitted)}},
                .pressed = std::vector<customer_id>{}};
    }

    question_relay relay_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(question_relay_test);

} // namespace

} // namespace mulberryrudder::control
