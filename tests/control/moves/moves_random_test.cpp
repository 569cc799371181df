#include "bench/moves_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::bench
{

namespace
{

/// Runs the mover with the entries' version rule; the shares are asserted inside
/// the rule at each request.
class moves_random_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moves_random_test);
    CPPUNIT_TEST(good_versions_are_done_in_time_and_bad_ones_taken_back);
    CPPUNIT_TEST(a_bad_version_gets_less_than_from_the_naive_mover);
    CPPUNIT_TEST(a_fault_after_completion_is_found_in_the_watch);
    CPPUNIT_TEST_SUITE_END();

public:
    void good_versions_are_done_in_time_and_bad_ones_taken_back()
    {
        for (std::uint64_t seed = 1001; seed <= 1080; ++seed)
        {
            auto what = draw_case(seed);
            // A fault that shows after the move has ended is not the mover's to find.
            if (what.cap < whole_share && what.kind != fault_kind::under_load)
                what.fault_after = std::min(what.fault_after, what.time / 2);
            auto const it = run_move(what, seed);
            auto const about = std::string(to_string(what.kind)) + " with seed " +
                               std::to_string(seed) + ": " + it.evidence;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(about, what.is_bad(), it.taken_back);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(about, !what.is_bad(), it.done && it.reached);
        }
    }

    void a_bad_version_gets_less_than_from_the_naive_mover()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            auto const what = draw_case(seed);
            if (!what.is_bad())
                continue;
            auto const ours = part_to_faulty(run_move(what, seed));
            auto const naive = part_to_faulty(run_naive_move(what, seed));
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), ours < 0.02);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), ours <= naive);
        }
    }

    void a_fault_after_completion_is_found_in_the_watch()
    {
        move_case const late{.kind = fault_kind::later,
                             .fault_rate = 0.5,
                             .fault_after = seconds(150),
                             .time = seconds(120)};
        auto const it = run_move(late, 1);
        CPPUNIT_ASSERT(it.reached);
        CPPUNIT_ASSERT(it.taken_back);
    }

private:
    static double part_to_faulty(move_result const& it)
    {
        return static_cast<double>(it.requests_to_faulty) / static_cast<double>(it.requests_all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(moves_random_test);

} // namespace

} // namespace mulberryrudder::bench
