#include "plugins/control/moves/pacing.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

class pacing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pacing_test);
    CPPUNIT_TEST(a_step_at_most_doubles_the_share_up_to_the_cap);
    CPPUNIT_TEST(the_remaining_time_is_divided_over_the_remaining_steps);
    CPPUNIT_TEST(every_deadline_of_at_least_a_minute_is_met);
    CPPUNIT_TEST(a_late_move_keeps_each_share_for_the_minimum_dwell);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_step_at_most_doubles_the_share_up_to_the_cap()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10},
                             next_share(per_mille(0), whole_share, config_).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80},
                             next_share(per_mille(40), whole_share, config_).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{300},
                             next_share(per_mille(160), per_mille(300), config_).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5},
                             next_share(per_mille(0), per_mille(5), config_).count());
    }

    void the_remaining_time_is_divided_over_the_remaining_steps()
    {
        // One step leads from 500 to 1000, so that half of the time is kept in reserve.
        CPPUNIT_ASSERT(start_ + seconds(50) == step_due(per_mille(500), whole_share, start_,
                                                        start_ + seconds(100), config_));
    }

    void every_deadline_of_at_least_a_minute_is_met()
    {
        for (int minutes = 1; minutes <= 20; ++minutes)
        {
            auto const deadline = start_ + std::chrono::minutes(minutes);
            auto now = start_;
            for (per_mille share; share < whole_share;
                 share = next_share(share, whole_share, config_))
                now = step_due(share, whole_share, now, deadline, config_);
            CPPUNIT_ASSERT(now < deadline);
        }
    }

    void a_late_move_keeps_each_share_for_the_minimum_dwell()
    {
        CPPUNIT_ASSERT(start_ + config_.min_dwell ==
                       step_due(per_mille(500), whole_share, start_, start_ - seconds(9), config_));
    }

private:
    moves_settings config_;
    instant const start_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(pacing_test);

} // namespace

} // namespace mulberryrudder::control
