#include <mulberryrudder/fleet/steering_difference.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace mulberryrudder::fleet
{

namespace
{

/// Returns a plan with routes and customers of the given numbers; numbers that differ by a
/// multiple of 10 have the same id.
traffic_plan plan_of(std::vector<int> const& routes, std::vector<int> const& customers)
{
    traffic_plan out{.number = plan_number(routes.size())};
    for (auto const n : routes)
        out.routes.push_back({.id = route_id(std::to_string(n % 10)),
                              .host = "h",
                              .path_prefix = "/" + std::to_string(n) + "/",
                              .services = {},
                              .homes = {}});
    for (auto const n : customers)
        out.customers.push_back({.id = customer_id(std::to_string(n % 10)),
                                 .keys = {sha256(std::to_string(n))},
                                 .rank = std::nullopt,
                                 .rate = millitokens_per_second(n),
                                 .burst = {},
                                 .homes = {}});
    out.services = {{.id = service_id("s"), .health_path = {}, .most_connections = {}}};
    return out;
}

steering_state state_of(std::uint64_t generation, traffic_plan plan)
{
    return {.generation = generation_id(generation),
            .plan = std::make_shared<traffic_plan const>(std::move(plan)),
            .evacuated = {domain_id("d" + std::to_string(generation))},
            .versions = {}};
}

class steering_difference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_difference_test);
    CPPUNIT_TEST(a_state_changed_by_its_difference_is_the_newer_one);
    CPPUNIT_TEST(only_new_elements_are_contained);
    CPPUNIT_TEST(an_unchanged_plan_is_not_contained);
    CPPUNIT_TEST(a_difference_of_another_plan_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_state_changed_by_its_difference_is_the_newer_one()
    {
        auto const numbers = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
        CPPUNIT_ASSERT(rc::check(
            [&]
            {
                auto const base = state_of(1, plan_of(*numbers, *numbers));
                auto const newer = state_of(2, plan_of(*numbers, *numbers));
                auto const out = changed(base, difference(base, newer));
                RC_ASSERT(out.has_value());
                RC_ASSERT(out->generation == newer.generation);
                RC_ASSERT(*out->plan == *newer.plan);
                RC_ASSERT(out->evacuated == newer.evacuated);
            }));
    }

    void only_new_elements_are_contained()
    {
        auto const base = state_of(1, plan_of({1, 2, 3}, {1, 2}));
        auto const newer = state_of(2, plan_of({3, 12, 1}, {2}));
        auto const plan = difference(base, newer).plan;
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT((plan->routes.order == std::vector<std::int32_t>{2, ~0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan->routes.changed.size());
        CPPUNIT_ASSERT((plan->customers.order == std::vector<std::int32_t>{1}));
        CPPUNIT_ASSERT(plan->customers.changed.empty());
    }

    void an_unchanged_plan_is_not_contained()
    {
        auto const base = state_of(1, plan_of({1, 2, 3}, {1}));
        auto newer = base;
        newer.generation = generation_id(2);
        newer.versions[service_id("s")] = {.base = version_id("v1"), .next = {}, .share = {}};
        auto const by = difference(base, newer);
        CPPUNIT_ASSERT(!by.plan);
        auto const out = changed(base, by);
        CPPUNIT_ASSERT(out && out->plan == base.plan && out->versions == newer.versions);
    }

    void a_difference_of_another_plan_is_rejected()
    {
        auto const by =
            difference(state_of(1, plan_of({1, 2, 3}, {})), state_of(2, plan_of({3}, {})));
        CPPUNIT_ASSERT(!changed(state_of(1, plan_of({1}, {})), by));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_difference_test);

} // namespace

} // namespace mulberryrudder::fleet
