#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

/// Tests what becomes of requests while the plan changes or cannot be relied on.
class plan_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_changes_test);
    CPPUNIT_TEST(requests_are_refused_while_the_plan_is_outdated);
    CPPUNIT_TEST(a_request_is_not_repeated_while_the_plan_is_outdated);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.add_target("t1", "m-a");
        bench_.add_target("t2", "m-a");
    }

    // Guards against a violation of HOME and CONFIG: an entry that received plans seconds late
    // served requests by them.
    void requests_are_refused_while_the_plan_is_outdated()
    {
        bench_.plan().is_outdated = true;
        auto const id = bench_.send_request("/read/1");
        CPPUNIT_ASSERT_EQUAL(std::string("plan_outdated"), bench_.outcome_of(id));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, bench_.refusal(id).why->what().status);
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::not_run);
        CPPUNIT_ASSERT(bench_.refusal(id).retry_after.has_value());
        bench_.plan().is_outdated = false;
        CPPUNIT_ASSERT_EQUAL(std::string(), bench_.outcome_of(bench_.send_request("/read/1")));
    }

    void a_request_is_not_repeated_while_the_plan_is_outdated()
    {
        auto const id = bench_.send_request("/read/1");
        bench_.plan().is_outdated = true;
        bench_.fail(id, attempt_failure::connect_refused, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::string("plan_outdated"), bench_.outcome_of(id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(id));
    }

private:
    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_changes_test);

} // namespace

} // namespace mulberryrudder::entry
