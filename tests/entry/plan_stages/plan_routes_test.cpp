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
    CPPUNIT_TEST(an_open_route_asks_for_no_key);
    CPPUNIT_TEST(before_the_first_plan_nothing_is_denied_for_good);
    CPPUNIT_TEST(a_new_plan_holds_for_the_next_request);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_longest_prefix_of_the_host_selects_the_route()
    {
        auto plan = sample_plan();
        auto inner = plan.routes.at(0);
        inner.id = route_id("inner");
        inner.path_prefix = "/read/inner/";
        plan.routes.push_back(inner);
        route_index const it(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("read"), it.find("host.example", "/read/x")->id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("inner"),
                             it.find("host.example", "/read/inner/x")->id.value());
        CPPUNIT_ASSERT(it.find("other.example", "/read/x") == nullptr);
        CPPUNIT_ASSERT(it.find("host.example", "/reading/x") == nullptr);
    }

    void neither_case_nor_port_of_the_host_matters()
    {
        auto const plan = sample_plan();
        route_index const it(plan);
        CPPUNIT_ASSERT(it.find("HOST.example:8080", "/read/x") != nullptr);
    }

    void a_path_without_a_route_is_not_found()
    {
        auto const id = it_.ask("/nowhere/x");
        CPPUNIT_ASSERT_EQUAL(std::string("no_route"), it_.told(id));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{404}, it_.refusal(id).why->what().status);
    }

    void a_keyed_route_needs_a_known_key()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"), it_.told(it_.ask("/keyed/x")));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                             it_.told(it_.ask("/keyed/x", "", "another")));
        CPPUNIT_ASSERT_EQUAL(std::string("no_target"), it_.told(it_.ask("/keyed/x", "", "key")));
    }

    void an_open_route_asks_for_no_key()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("no_target"), it_.told(it_.ask("/read/x")));
    }

    void before_the_first_plan_nothing_is_denied_for_good()
    {
        it_.plan().held = nullptr;
        auto const id = it_.ask("/nowhere/x");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, it_.refusal(id).why->what().status);
        CPPUNIT_ASSERT(it_.refusal(id).run == verdict::not_run);
    }

    void a_new_plan_holds_for_the_next_request()
    {
        auto plan = sample_plan();
        plan.routes.erase(plan.routes.begin());
        it_.put(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("no_route"), it_.told(it_.ask("/read/x")));
    }

private:
    plan_bench it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_routes_test);

} // namespace

} // namespace mulberryrudder::entry
