#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

class departures_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departures_test);
    CPPUNIT_TEST(a_repeatable_request_ends_when_its_caller_disconnects);
    CPPUNIT_TEST(a_request_that_may_run_once_continues_after_its_caller_disconnects);
    CPPUNIT_TEST(a_request_whose_caller_disconnected_is_not_retried);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.add_target("t1", "m-a");
        bench_.add_target("t2", "m-a");
    }

    void a_repeatable_request_ends_when_its_caller_disconnects()
    {
        auto const id = bench_.send_request("/read/1");
        bench_.disconnect_caller(id);
        CPPUNIT_ASSERT_EQUAL(std::string("caller_left"), bench_.outcome_of(id));
    }

    void a_request_that_may_run_once_continues_after_its_caller_disconnects()
    {
        auto const id = bench_.send_request("/write/1");
        bench_.disconnect_caller(id);
        CPPUNIT_ASSERT_EQUAL(std::string(), bench_.outcome_of(id));
        bench_.reply(id);
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), bench_.outcome_of(id));
    }

    // Guards against fault GONE: a request that runs at most once continued on its target after
    // its caller had disconnected, and was retried on another target when the first refused it.
    void a_request_whose_caller_disconnected_is_not_retried()
    {
        auto const id = bench_.send_request("/write/1");
        bench_.disconnect_caller(id);
        bench_.fail(id, attempt_failure::connect_refused, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(id));
        CPPUNIT_ASSERT_EQUAL(std::string("caller_left"), bench_.outcome_of(id));
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::not_run);
    }

private:
    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(departures_test);

} // namespace

} // namespace mulberryrudder::entry
