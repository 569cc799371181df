#include "bench/moves_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::bench
{

namespace
{

/// Runs simulated moves with the entries' version rule, which asserts the shares at each
/// request.
class moves_random_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moves_random_test);
    CPPUNIT_TEST(good_versions_finish_in_time_and_bad_ones_are_rolled_back);
    CPPUNIT_TEST(a_bad_version_gets_no_larger_share_than_from_the_naive_mover);
    CPPUNIT_TEST(a_fault_after_the_last_step_is_detected_in_the_watch);
    CPPUNIT_TEST_SUITE_END();

public:
    void good_versions_finish_in_time_and_bad_ones_are_rolled_back()
    {
        for (std::uint64_t seed = 1001; seed <= 1080; ++seed)
        {
            auto scenario = draw_case(seed);
            // The fault has to appear before the move ends; a later one cannot be detected.
            if (scenario.cap < whole_share && scenario.kind != fault_kind::under_load)
                scenario.fault_after = std::min(scenario.fault_after, scenario.time / 2);
            auto const result = run_move(scenario, seed);
            auto const description = std::string(to_string(scenario.kind)) + " with seed " +
                                     std::to_string(seed) + ": " + result.evidence;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, scenario.is_bad(), result.taken_back);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(description, !scenario.is_bad(),
                                         result.done && result.reached);
        }
    }

    void a_bad_version_gets_no_larger_share_than_from_the_naive_mover()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            auto const scenario = draw_case(seed);
            if (!scenario.is_bad())
                continue;
            auto const fraction = faulty_fraction(run_move(scenario, seed));
            auto const naive_fraction = faulty_fraction(run_naive_move(scenario, seed));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fraction < 0.02);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fraction <= naive_fraction);
        }
    }

    void a_fault_after_the_last_step_is_detected_in_the_watch()
    {
        move_case const late_fault{.kind = fault_kind::later,
                                   .fault_rate = 0.5,
                                   .fault_after = seconds(150),
                                   .time = seconds(120)};
        auto const result = run_move(late_fault, 1);
        CPPUNIT_ASSERT(result.reached);
        CPPUNIT_ASSERT(result.taken_back);
    }

private:
    static double faulty_fraction(move_result const& result)
    {
        return static_cast<double>(result.requests_to_faulty) /
               static_cast<double>(result.requests_all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(moves_random_test);

} // namespace

} // namespace mulberryrudder::bench
