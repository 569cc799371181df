#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;
using testing::sample_plan;

/// Tests what becomes of requests while the plan changes or cannot be relied on.
class plan_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_changes_test);
    CPPUNIT_TEST(requests_are_refused_while_the_plan_is_outdated);
    CPPUNIT_TEST(a_request_is_not_repeated_in_a_region_that_is_no_home_any_more);
    CPPUNIT_TEST(a_request_is_not_repeated_at_a_service_that_its_route_left);
    CPPUNIT_TEST(a_request_is_not_repeated_with_a_withdrawn_key);
    CPPUNIT_TEST(a_request_is_repeated_after_a_change_of_another_route);
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

    // Guards against a violation of HOME: a request that was repeated went by the plan of its
    // admission until its deadline.
    void a_request_is_not_repeated_in_a_region_that_is_no_home_any_more()
    {
        auto plan = sample_plan();
        plan.routes.at(0).homes = {region_id("e")};
        CPPUNIT_ASSERT_EQUAL(std::string("plan_changed"), repeat_after(plan, "/read/1"));
    }

    void a_request_is_not_repeated_at_a_service_that_its_route_left()
    {
        auto plan = sample_plan();
        plan.routes.at(0).services = {{service_id("another"), weight(1)}};
        CPPUNIT_ASSERT_EQUAL(std::string("plan_changed"), repeat_after(plan, "/read/1"));
    }

    // Guards against a violation of ROUTE and CONFIG, for the same reason.
    void a_request_is_not_repeated_with_a_withdrawn_key()
    {
        auto plan = sample_plan();
        plan.customers.at(0).keys = {sha256("newer")};
        CPPUNIT_ASSERT_EQUAL(std::string("plan_changed"), repeat_after(plan, "/keyed/1", "key"));
    }

    void a_request_is_repeated_after_a_change_of_another_route()
    {
        auto plan = sample_plan();
        plan.routes.at(1).homes = {region_id("e")};
        plan.customers.at(0).keys.insert(sha256("newer"));
        CPPUNIT_ASSERT_EQUAL(std::string(), repeat_after(plan, "/keyed/1", "key"));
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
    /// Sends a request, puts a plan in force and lets the first attempt fail. Returns the outcome;
    /// empty if the request is repeated.
    std::string repeat_after(traffic_plan const& plan, std::string const& path,
                             std::string const& key = {})
    {
        auto const id = bench_.send_request(path, {}, key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(id));
        bench_.set_plan(plan);
        bench_.fail(id, attempt_failure::connect_refused, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(bench_.outcome_of(id).empty() ? std::size_t{2} : std::size_t{1},
                             bench_.attempts_of(id));
        return bench_.outcome_of(id);
    }

    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_changes_test);

} // namespace

} // namespace mulberryrudder::entry
