#include "plan_bench.hpp"

#include "plugins/entry/plan_routes/route_index.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;
using testing::sample_plan;

class plan_routes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_routes_test);
    CPPUNIT_TEST(the_longest_prefix_of_the_host_selects_the_route);
    CPPUNIT_TEST(neither_case_nor_port_of_the_host_matters);
    CPPUNIT_TEST(a_path_without_a_route_is_not_found);
    CPPUNIT_TEST(a_keyed_route_needs_a_known_key);
    CPPUNIT_TEST(an_open_route_requires_no_key);
    CPPUNIT_TEST(requests_before_the_first_plan_get_a_temporary_error);
    CPPUNIT_TEST(a_new_plan_applies_to_the_next_request);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_longest_prefix_of_the_host_selects_the_route()
    {
        auto plan = sample_plan();
        auto inner = plan.routes.at(0);
        inner.id = route_id("inner");
        inner.path_prefix = "/read/inner/";
        plan.routes.push_back(inner);
        route_index const index(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("read"),
                             index.find("host.example", "/read/x")->id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("inner"),
                             index.find("host.example", "/read/inner/x")->id.value());
        CPPUNIT_ASSERT(index.find("other.example", "/read/x") == nullptr);
        CPPUNIT_ASSERT(index.find("host.example", "/reading/x") == nullptr);
    }

    void neither_case_nor_port_of_the_host_matters()
    {
        auto const plan = sample_plan();
        route_index const index(plan);
        CPPUNIT_ASSERT(index.find("HOST.example:8080", "/read/x") != nullptr);
    }

    void a_path_without_a_route_is_not_found()
    {
        auto const id = bench_.send_request("/nowhere/x");
        CPPUNIT_ASSERT_EQUAL(std::string("no_route"), bench_.outcome_of(id));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{404}, bench_.refusal(id).why->what().status);
    }

    void a_keyed_route_needs_a_known_key()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                             bench_.outcome_of(bench_.send_request("/keyed/x")));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                             bench_.outcome_of(bench_.send_request("/keyed/x", "", "another")));
        CPPUNIT_ASSERT_EQUAL(std::string("no_target"),
                             bench_.outcome_of(bench_.send_request("/keyed/x", "", "key")));
    }

    void an_open_route_requires_no_key()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("no_target"),
                             bench_.outcome_of(bench_.send_request("/read/x")));
    }

    void requests_before_the_first_plan_get_a_temporary_error()
    {
        bench_.plan().current = nullptr;
        auto const id = bench_.send_request("/nowhere/x");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, bench_.refusal(id).why->what().status);
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::not_run);
    }

    void a_new_plan_applies_to_the_next_request()
    {
        auto plan = sample_plan();
        plan.routes.erase(plan.routes.begin());
        bench_.set_plan(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("no_route"),
                             bench_.outcome_of(bench_.send_request("/read/x")));
    }

private:
    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_routes_test);

} // namespace

} // namespace mulberryrudder::entry
