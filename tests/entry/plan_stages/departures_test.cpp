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
    CPPUNIT_TEST(a_request_that_may_be_repeated_ends_with_its_caller);
    CPPUNIT_TEST(a_request_that_may_run_once_is_left_to_its_target);
    CPPUNIT_TEST(a_request_that_did_not_run_is_not_sent_again_for_nobody);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.add("t1", "m-a");
        bench_.add("t2", "m-a");
    }

    void a_request_that_may_be_repeated_ends_with_its_caller()
    {
        auto const id = bench_.ask("/read/1");
        bench_.leave(id);
        CPPUNIT_ASSERT_EQUAL(std::string("caller_left"), bench_.told(id));
    }

    void a_request_that_may_run_once_is_left_to_its_target()
    {
        auto const id = bench_.ask("/write/1");
        bench_.leave(id);
        CPPUNIT_ASSERT_EQUAL(std::string(), bench_.told(id));
        bench_.reply(id);
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), bench_.told(id));
    }

    // Guards against GONE: a request that runs at most once was left to its target when its
    // caller left, and sent to another one when the first turned it away.
    void a_request_that_did_not_run_is_not_sent_again_for_nobody()
    {
        auto const id = bench_.ask("/write/1");
        bench_.leave(id);
        bench_.fail(id, attempt_failure::connect_refused, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(id));
        CPPUNIT_ASSERT_EQUAL(std::string("caller_left"), bench_.told(id));
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::not_run);
    }

private:
    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(departures_test);

} // namespace

} // namespace mulberryrudder::entry
