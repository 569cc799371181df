#include "quota_checks.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberryrudder::testing
{

namespace
{

class quota_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_restart_test);
    CPPUNIT_TEST(a_repeated_start_of_half_of_the_entries_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused_around_a_start_of_all);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against QUOTA: each start of an entry allowed it another whole request, without a
    // bound where entries start again and again while no leader answers.
    void a_repeated_start_of_half_of_the_entries_stays_within_the_tolerated_rate()
    {
        auto const half = first_entries(entries / 2);
        for (auto const rate : rates_and_largest)
            for (bool const has_leader : {false, true})
                for (auto const period : {milliseconds(300), milliseconds(1000)})
                    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                    {
                        quota_fleet fleet({.rate = rate, .seed = seed});
                        fleet.run(seconds(10), usual_load);
                        fleet.run(seconds(2), excessive_load);
                        if (!has_leader)
                            fleet.remove_leader();
                        for (milliseconds elapsed{0}; elapsed < seconds(6); elapsed += period)
                        {
                            fleet.restart_entries(half);
                            fleet.run(period, excessive_load);
                        }
                        check_window(fleet, rate, seed);
                    }
    }

    // Guards against refusals below the rate: what keeps a start of all within the tolerated rate
    // must not refuse more than a twentieth. A small customer sends too little in a minute for a
    // count of its own.
    void a_customer_below_its_rate_is_seldom_refused_around_a_start_of_all()
    {
        for (auto const rate : rates_and_largest)
        {
            int refused_of_rate = 0;
            int all_of_rate = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                quota_fleet fleet({.rate = rate, .seed = seed});
                fleet.run(seconds(10), usual_load);
                lose_power(fleet);
                fleet.forget_entries();
                fleet.run(seconds(1), usual_load);
                fleet.change_leader(2);
                fleet.run(seconds(2), usual_load);
                fleet.tell_entries();
                fleet.run(seconds(47), usual_load);
                auto const refused = sum_of(fleet.record().refused());
                auto const all = refused + sum_of(fleet.record().admitted());
                CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(all) +
                                           ", rate " + std::to_string(rate),
                                       refused * 20 <= all || rate < 9);
                refused_of_rate += refused;
                all_of_rate += all;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(refused_of_rate) + " of " +
                                       std::to_string(all_of_rate) + ", rate " +
                                       std::to_string(rate),
                                   refused_of_rate * 20 <= all_of_rate);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_restart_test);

} // namespace

} // namespace mulberryrudder::testing
