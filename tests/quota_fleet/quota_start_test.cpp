#include "quota_checks.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::testing
{

namespace
{

/// Times without a leader after a start of all instances.
constexpr milliseconds times_without_leader[] = {milliseconds(0), milliseconds(500),
                                                 milliseconds(1000), milliseconds(2000)};

class quota_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_start_test);
    CPPUNIT_TEST(a_start_of_all_entries_at_once_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(entries_that_do_not_know_each_other_stay_within_the_tolerated_rate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against QUOTA: each entry began with a whole request of each customer, so that 182 of
    // them admitted up to as many beside what the leader admitted once there was one.
    void a_start_of_all_entries_at_once_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates_and_largest)
            for (auto const without_leader : times_without_leader)
                for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                {
                    quota_fleet fleet({.rate = rate, .seed = seed});
                    fleet.run(seconds(10), usual_load);
                    fleet.run(seconds(2), excessive_load);
                    lose_power(fleet);
                    fleet.run(without_leader, excessive_load);
                    fleet.change_leader(2);
                    fleet.run(seconds(5), excessive_load);
                    check_window(fleet, rate, seed);
                }
    }

    // Guards against QUOTA: before control tells entries how many there are, each took the whole of
    // each rate for its part.
    void entries_that_do_not_know_each_other_stay_within_the_tolerated_rate()
    {
        for (auto const rate : rates_and_largest)
            for (auto const without_leader : times_without_leader)
                for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                {
                    quota_fleet fleet({.rate = rate, .seed = seed});
                    fleet.run(seconds(10), usual_load);
                    fleet.run(seconds(2), excessive_load);
                    lose_power(fleet);
                    fleet.forget_entries();
                    fleet.run(without_leader, excessive_load);
                    fleet.change_leader(2);
                    fleet.run(seconds(3), excessive_load);
                    fleet.tell_entries();
                    fleet.run(seconds(5), excessive_load);
                    check_window(fleet, rate, seed);
                }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_start_test);

} // namespace

} // namespace mulberryrudder::testing
