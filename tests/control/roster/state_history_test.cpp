#include <plugins/control/roster/state_history.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::size_t large_plan = 600'000;
constexpr byte_count byte_limit{8 << 20};

shared_steering state(std::uint64_t generation, std::size_t plan_bytes)
{
    auto plan = std::make_shared<traffic_plan>();
    plan->number = plan_number(generation);
    plan->source = std::string(plan_bytes, ' ');
    return std::make_shared<steering_state const>(
        steering_state{.generation = generation_id(generation),
                       .plan = std::move(plan),
                       .evacuated = {},
                       .versions = {}});
}

class state_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_history_test);
    CPPUNIT_TEST(small_plans_are_kept_by_number);
    CPPUNIT_TEST(large_plans_are_kept_by_bytes);
    CPPUNIT_TEST(the_state_before_the_newest_is_kept_whatever_its_size);
    CPPUNIT_TEST_SUITE_END();

public:
    void small_plans_are_kept_by_number()
    {
        state_history history;
        for (std::uint64_t n = 1; n != 41; ++n)
            history.add(state(n, 100));
        CPPUNIT_ASSERT(history.difference_from(generation_id(9)) != nullptr);
        CPPUNIT_ASSERT(history.difference_from(generation_id(8)) == nullptr);
    }

    // Guards against control instances that exceed their memory with many large plans.
    void large_plans_are_kept_by_bytes()
    {
        state_history history;
        for (std::uint64_t n = 1; n != 41; ++n)
        {
            history.add(state(n, large_plan));
            CPPUNIT_ASSERT(history.bytes() <= byte_limit);
        }
        CPPUNIT_ASSERT(history.difference_from(generation_id(39)) != nullptr);
    }

    void the_state_before_the_newest_is_kept_whatever_its_size()
    {
        state_history history;
        for (std::uint64_t n = 1; n != 4; ++n)
            history.add(state(n, 16 << 20));
        CPPUNIT_ASSERT(history.difference_from(generation_id(2)) != nullptr);
        CPPUNIT_ASSERT(history.difference_from(generation_id(1)) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_history_test);

} // namespace

} // namespace mulberryrudder::control::testing
