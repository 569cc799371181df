#include "plugins/entry_io/caller_http/exchange_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace mulberryrudder::caller_http
{

namespace
{

http_response answer_of(std::size_t size)
{
    auto out = encode_status(200);
    out.body() = std::string(size, 'x');
    return out;
}

class exchange_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_queue_test);
    CPPUNIT_TEST(answers_come_in_the_order_of_the_requests);
    CPPUNIT_TEST(only_safe_requests_have_others_behind_them);
    CPPUNIT_TEST(the_number_of_requests_is_bounded);
    CPPUNIT_TEST(the_bytes_of_waiting_answers_are_bounded);
    CPPUNIT_TEST(answers_that_are_awaited_count_as_large_as_recent_ones);
    CPPUNIT_TEST(an_answer_that_is_written_is_not_charged);
    CPPUNIT_TEST(what_cannot_be_answered_any_more_is_dropped);
    CPPUNIT_TEST(an_answer_to_a_request_that_is_not_here_is_ignored);
    CPPUNIT_TEST(random_orders_of_answers_leave_no_charge);
    CPPUNIT_TEST_SUITE_END();

public:
    void answers_come_in_the_order_of_the_requests()
    {
        add(1);
        add(2);
        queue_.answer(request_id(2), answer_of(20));
        CPPUNIT_ASSERT(!queue_.is_next_ready());
        queue_.answer(request_id(1), answer_of(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue_.next(true).body().size());
        queue_.pop();
        CPPUNIT_ASSERT(queue_.is_next_ready() && queue_.is_last());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, queue_.next(true).body().size());
    }

    void only_safe_requests_have_others_behind_them()
    {
        CPPUNIT_ASSERT(queue_.has_room());
        queue_.add({.id = request_id(1), .is_safe = false});
        CPPUNIT_ASSERT(!queue_.has_room());
    }

    void the_number_of_requests_is_bounded()
    {
        for (std::uint64_t n = 1; n != 4; ++n)
        {
            CPPUNIT_ASSERT(queue_.has_room());
            add(n);
        }
        CPPUNIT_ASSERT(!queue_.has_room());
    }

    void the_bytes_of_waiting_answers_are_bounded()
    {
        add(1);
        add(2);
        queue_.answer(request_id(2), answer_of(49));
        CPPUNIT_ASSERT(queue_.has_room());
        queue_.drop_unanswered();
        add(1);
        add(2);
        queue_.answer(request_id(2), answer_of(100));
        CPPUNIT_ASSERT(!queue_.has_room());
    }

    // Guards against memory that fills with large answers to requests that were taken before any of
    // them was known to be large.
    void answers_that_are_awaited_count_as_large_as_recent_ones()
    {
        add(1);
        queue_.answer(request_id(1), answer_of(60));
        queue_.next(true);
        queue_.pop();
        add(2);
        CPPUNIT_ASSERT(queue_.has_room());
        add(3);
        CPPUNIT_ASSERT_MESSAGE("two of 60 bytes", !queue_.has_room());
    }

    void an_answer_that_is_written_is_not_charged()
    {
        queue_.add({.id = request_id(1), .size = byte_count(70), .is_safe = true});
        CPPUNIT_ASSERT(byte_count(70) + request_overhead == budget_.used());
        queue_.answer(request_id(1), answer_of(30));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, budget_.used().count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{30}, answers_.used().count());
        queue_.next(true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, answers_.used().count());
    }

    void what_cannot_be_answered_any_more_is_dropped()
    {
        for (std::uint64_t n = 1; n != 4; ++n)
            add(n);
        queue_.answer(request_id(1), answer_of(10));
        queue_.answer(request_id(3), answer_of(10));
        CPPUNIT_ASSERT(std::vector{request_id(2)} == queue_.drop_unanswered());
        CPPUNIT_ASSERT(queue_.is_last() && queue_.is_next_ready());
        queue_.next(false);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, budget_.used().count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, answers_.used().count());
    }

    void an_answer_to_a_request_that_is_not_here_is_ignored()
    {
        add(1);
        queue_.answer(request_id(9), answer_of(10));
        CPPUNIT_ASSERT(!queue_.is_next_ready());
        CPPUNIT_ASSERT(request_overhead == budget_.used());
    }

    /// Pattern: requests, answers in any order and departures are mixed.
    void random_orders_of_answers_leave_no_charge()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::vector<std::uint8_t> const& steps)
            {
                kernel::byte_budget budget(byte_count(10'000));
                kernel::byte_budget answers(byte_count(10'000));
                {
                    exchange_queue queue(limits, {.requests = budget, .answers = answers});
                    std::uint64_t last = 0;
                    std::uint64_t next = 1;
                    for (auto const step : steps)
                    {
                        if (step % 4 == 0 && queue.has_room())
                            queue.add({.id = request_id(++last), .is_safe = true});
                        else if (step % 4 == 1)
                            queue.answer(request_id(next + step % 3), answer_of(step));
                        else if (step % 4 == 2 && queue.is_next_ready())
                        {
                            queue.next(true);
                            queue.pop();
                            ++next;
                        }
                        else if (step == 255)
                            queue.drop_unanswered();
                        if (queue.is_empty())
                            RC_ASSERT(budget.used() == byte_count(0));
                    }
                }
                RC_ASSERT(budget.used() == byte_count(0));
                RC_ASSERT(answers.used() == byte_count(0));
            }));
    }

private:
    static constexpr exchange_limits limits{.most_pipelined = requests(3),
                                            .most_waiting_answers = byte_count(100)};

    void add(std::uint64_t id)
    {
        queue_.add({.id = request_id(id), .is_safe = true});
        queue_.expect(request_id(id));
    }

    kernel::byte_budget budget_{byte_count(10'000)};
    kernel::byte_budget answers_{byte_count(10'000)};
    exchange_queue queue_{limits, {.requests = budget_, .answers = answers_}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_queue_test);

} // namespace

} // namespace mulberryrudder::caller_http
