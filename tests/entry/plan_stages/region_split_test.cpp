#include "plugins/entry/placement/region_split.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

region_id const own{"m"};
region_id const other{"e"};

std::map<region_id, region_room> rooms(double used_here, double used_there)
{
    return {{own, {slots(20), 20 * used_here}}, {other, {slots(80), 80 * used_there}}};
}

class region_split_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(region_split_test);
    CPPUNIT_TEST(it_starts_as_the_slots_allow);
    CPPUNIT_TEST(two_seconds_move_less_than_regions_bear);
    CPPUNIT_TEST(objects_leave_a_full_region_and_come_back);
    CPPUNIT_TEST(nothing_moves_into_regions_that_are_full);
    CPPUNIT_TEST(no_more_stay_than_targets_keep_warm);
    CPPUNIT_TEST_SUITE_END();

public:
    void it_starts_as_the_slots_allow()
    {
        it_.update(own, rooms(0, 0), 1, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, it_.own_part(), 0.001);
    }

    void two_seconds_move_less_than_regions_bear()
    {
        it_.update(own, rooms(0, 0), 1, now_);
        for (int n = 0; n != 20; ++n)
        {
            auto const before = it_.own_part();
            for (int step = 0; step != 200; ++step)
                it_.update(own, n % 2 == 0 ? rooms(2, 0) : rooms(0, 0), 1,
                           now_ += milliseconds(10));
            CPPUNIT_ASSERT(std::abs(it_.own_part() - before) <= 0.15 / 2);
        }
    }

    void objects_leave_a_full_region_and_come_back()
    {
        it_.update(own, rooms(0, 0), 1, now_);
        run(rooms(0.95, 0.3));
        CPPUNIT_ASSERT(it_.own_part() < 0.2);
        run(rooms(0.2, 0.3));
        CPPUNIT_ASSERT(it_.own_part() > 0.5);
    }

    void nothing_moves_into_regions_that_are_full()
    {
        it_.update(own, rooms(0, 0), 1, now_);
        run(rooms(0.95, 0.95));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, it_.own_part(), 0.001);
    }

    /// Pattern: few targets that are asked about more objects than they keep.
    void no_more_stay_than_targets_keep_warm()
    {
        it_.update(own, rooms(0, 0), 0.3, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, it_.own_part(), 0.001);
        run(rooms(0.1, 0.1), 0.3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, it_.own_part(), 0.02);
    }

private:
    void run(std::map<region_id, region_room> const& with, double kept = 1)
    {
        for (int n = 0; n != 60; ++n)
            it_.update(own, with, kept, now_ += region_split::step_period);
    }

    region_split it_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_split_test);

} // namespace

} // namespace mulberryrudder::entry
