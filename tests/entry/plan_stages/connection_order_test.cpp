#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

class connection_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_order_test);
    CPPUNIT_TEST(repeatable_requests_of_a_connection_run_side_by_side);
    CPPUNIT_TEST(a_request_that_may_run_once_waits_for_all_before_it);
    CPPUNIT_TEST(requests_behind_one_that_may_run_once_wait_for_it);
    CPPUNIT_TEST(a_request_that_waits_ends_at_its_deadline_as_not_run);
    CPPUNIT_TEST(a_request_behind_one_that_was_given_up_runs);
    CPPUNIT_TEST(a_caller_that_leaves_starts_none_of_its_waiting_requests);
    CPPUNIT_TEST(requests_of_other_connections_do_not_wait);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.add_target("t1", "m-a");
        bench_.add_target("t2", "m-a");
    }

    void repeatable_requests_of_a_connection_run_side_by_side()
    {
        auto const first = send("/read/1");
        auto const second = send("/read/2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(second));
    }

    void a_request_that_may_run_once_waits_for_all_before_it()
    {
        auto const first = send("/read/1");
        auto const second = send("/read/2");
        auto const write = send("/write/3");
        bench_.reply(second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(write));
        bench_.reply(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(write));
    }

    void requests_behind_one_that_may_run_once_wait_for_it()
    {
        auto const write = send("/write/1");
        auto const second = send("/read/2");
        auto const third = send("/read/3");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(second));
        bench_.reply(write);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(third));
    }

    void a_request_that_waits_ends_at_its_deadline_as_not_run()
    {
        send("/write/1");
        auto const second = send("/read/2");
        bench_.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"), bench_.outcome_of(second));
        CPPUNIT_ASSERT(bench_.refusal(second).run == verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(second));
    }

    void a_request_behind_one_that_was_given_up_runs()
    {
        auto const read = send("/read/1");
        auto const write = send("/write/2");
        auto const last = send("/read/3");
        bench_.disconnect_caller(write);
        CPPUNIT_ASSERT_EQUAL(std::string("caller_left"), bench_.outcome_of(write));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(last));
        bench_.reply(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(write));
    }

    // Guards against GONE: the departure that ended a request let the one that waited behind it
    // run, although it had the same caller. Front ends tell the newest request's departure first.
    void a_caller_that_leaves_starts_none_of_its_waiting_requests()
    {
        auto const read = send("/read/1");
        auto const write = send("/write/2");
        auto const last = send("/read/3");
        for (auto const id : {last, write, read})
            bench_.disconnect_caller(id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(write));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(last));
        CPPUNIT_ASSERT_EQUAL(std::string("caller_left"), bench_.outcome_of(write));
    }

    void requests_of_other_connections_do_not_wait()
    {
        send("/write/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             bench_.attempts_of(bench_.send_request(
                                 "/write/2", {}, {}, {.connection = connection_id(8)})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(bench_.send_request("/write/3")));
    }

private:
    request_id send(std::string const& path)
    {
        return bench_.send_request(path, {}, {}, {.connection = connection_id(7)});
    }

    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_order_test);

} // namespace

} // namespace mulberryrudder::entry
