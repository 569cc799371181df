#include "tests/entry/routing_support/fair_run.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class fair_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_share_test);
    CPPUNIT_TEST(a_customer_at_five_times_its_rate_hurts_nobody_else);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_customer_at_five_times_its_rate_hurts_nobody_else()
    {
        for (std::uint64_t seed = 1; seed != 4; ++seed)
        {
            auto const calm = run_fair({.seed = seed, .length = seconds(20)});
            auto const surge = run_fair({.seed = seed, .surge = 5, .length = seconds(20)});
            auto const text = "seed " + std::to_string(seed) + ": " +
                              std::to_string(calm.worst_p99.count()) + " us became " +
                              std::to_string(surge.worst_p99.count()) + " us";
            CPPUNIT_ASSERT_MESSAGE(text, surge.worst_p99 * 10 <= calm.worst_p99 * 11);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, surge.refused);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_share_test);

} // namespace

} // namespace mulberryrudder::entry
