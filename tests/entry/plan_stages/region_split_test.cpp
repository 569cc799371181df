#include "plugins/entry/placement/region_split.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

region_id const own_region{"m"};
region_id const other_region{"e"};

std::map<region_id, region_usage> usage_of(double own_utilization, double other_utilization)
{
    return {{own_region, {slots(20), 20 * own_utilization}},
            {other_region, {slots(80), 80 * other_utilization}}};
}

class region_split_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(region_split_test);
    CPPUNIT_TEST(the_split_starts_at_the_regions_share_of_the_slots);
    CPPUNIT_TEST(two_seconds_move_at_most_half_of_the_allowed_traffic);
    CPPUNIT_TEST(objects_move_out_of_a_full_region_and_back);
    CPPUNIT_TEST(no_objects_move_to_full_regions);
    CPPUNIT_TEST(the_local_fraction_is_limited_to_what_targets_keep_warm);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_split_starts_at_the_regions_share_of_the_slots()
    {
        split_.update(own_region, usage_of(0, 0), 1, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, split_.own_fraction(), 0.001);
    }

    void two_seconds_move_at_most_half_of_the_allowed_traffic()
    {
        split_.update(own_region, usage_of(0, 0), 1, now_);
        for (int n = 0; n != 20; ++n)
        {
            auto const before = split_.own_fraction();
            for (int step = 0; step != 200; ++step)
                split_.update(own_region, n % 2 == 0 ? usage_of(2, 0) : usage_of(0, 0), 1,
                              now_ += milliseconds(10));
            CPPUNIT_ASSERT(std::abs(split_.own_fraction() - before) <= 0.15 / 2);
        }
    }

    void objects_move_out_of_a_full_region_and_back()
    {
        split_.update(own_region, usage_of(0, 0), 1, now_);
        update_60_times(usage_of(0.95, 0.3));
        CPPUNIT_ASSERT(split_.own_fraction() < 0.2);
        update_60_times(usage_of(0.2, 0.3));
        CPPUNIT_ASSERT(split_.own_fraction() > 0.5);
    }

    void no_objects_move_to_full_regions()
    {
        split_.update(own_region, usage_of(0, 0), 1, now_);
        update_60_times(usage_of(0.95, 0.95));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, split_.own_fraction(), 0.001);
    }

    /// Few targets get requests for more objects than they keep.
    void the_local_fraction_is_limited_to_what_targets_keep_warm()
    {
        split_.update(own_region, usage_of(0, 0), 0.3, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, split_.own_fraction(), 0.001);
        update_60_times(usage_of(0.1, 0.1), 0.3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, split_.own_fraction(), 0.02);
    }

private:
    void update_60_times(std::map<region_id, region_usage> const& usage, double warm_fraction = 1)
    {
        for (int n = 0; n != 60; ++n)
            split_.update(own_region, usage, warm_fraction, now_ += region_split::step_interval);
    }

    region_split split_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_split_test);

} // namespace

} // namespace mulberryrudder::entry
