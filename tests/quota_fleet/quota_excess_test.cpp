#include "quota_checks.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::testing
{

namespace
{

/// Time after which entries leave a control instance that hears too few others.
constexpr milliseconds detach_time{1000};
/// Time after which entries leave a control instance that does not answer.
constexpr milliseconds silence_time{1300};

class quota_excess_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_excess_test);
    CPPUNIT_TEST(a_sudden_excess_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_during_a_partition_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_around_a_change_of_leader_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_a_control_instance_is_silent_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_after_the_loss_of_the_leader_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_beside_a_leader_that_answers_at_times_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_during_a_partition_from_the_leader_stays_within_the_tolerated_rate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against QUOTA: the customer has its whole burst when the excess begins.
    void a_sudden_excess_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates)
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                quota_fleet fleet({.rate = rate, .seed = seed});
                fleet.run(seconds(15), usual_load);
                fleet.run(milliseconds(6500), excessive_load);
                check_window(fleet, rate, seed);
            }
    }

    // Guards against QUOTA: the entries of a group without a leader admit by their own parts of the
    // rate, while the leader admits from the whole rate for the others.
    void an_excess_during_a_partition_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates)
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                quota_fleet fleet({.rate = rate, .seed = seed});
                fleet.run(seconds(10), usual_load);
                fleet.run(seconds(2), excessive_load);
                fleet.partition({0, 1, 2, 3, 4});
                fleet.run(detach_time, excessive_load);
                fleet.attach_entries({0, 1, 2, 3, 4});
                fleet.run(seconds(5), excessive_load);
                check_window(fleet, rate, seed);
            }
    }

    // Guards against QUOTA: the old leader admitted the whole burst just before the new one begins.
    void an_excess_around_a_change_of_leader_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates)
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                quota_fleet fleet({.rate = rate, .seed = seed});
                fleet.run(seconds(10), usual_load);
                fleet.run(seconds(2), excessive_load);
                fleet.change_leader(3);
                fleet.run(seconds(5), excessive_load);
                check_window(fleet, rate, seed);
            }
    }

    // Guards against QUOTA: the entries of a silent control instance admit by their own parts of
    // the rate, beside what the leader admits for the others.
    void an_excess_while_a_control_instance_is_silent_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates)
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                quota_fleet fleet({.rate = rate, .seed = seed});
                fleet.run(seconds(10), usual_load);
                fleet.isolate({4});
                fleet.run(silence_time, excessive_load);
                fleet.attach_entries({0, 1, 2, 3, 5, 6, 7, 8});
                fleet.run(seconds(5), excessive_load);
                check_window(fleet, rate, seed);
            }
    }

    // Guards against QUOTA: control instances admit from their parts of the burst beside what the
    // leader admitted just before its loss, and the next leader begins beside what they admitted.
    void an_excess_after_the_loss_of_the_leader_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates_and_largest)
            for (auto const excess_before :
                 {milliseconds(0), milliseconds(500), milliseconds(2000)})
                for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                {
                    quota_fleet fleet({.rate = rate, .seed = seed});
                    fleet.run(seconds(10), usual_load);
                    fleet.run(excess_before, excessive_load);
                    fleet.remove_leader();
                    fleet.run(seconds(3), excessive_load);
                    fleet.change_leader(3);
                    fleet.run(seconds(5), excessive_load);
                    check_window(fleet, rate, seed);
                }
    }

    // Guards against QUOTA: the leader admits from the whole rate whenever it answers, beside what
    // the control instances admitted from their parts meanwhile.
    void an_excess_beside_a_leader_that_answers_at_times_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates_and_largest)
            for (auto const silence : {milliseconds(200), milliseconds(700)})
                for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                {
                    quota_fleet fleet({.rate = rate, .seed = seed});
                    fleet.attach_entries({1, 2, 3, 4, 5, 6, 7, 8});
                    fleet.run(seconds(10), usual_load);
                    for (int n = 0; n != 8; ++n)
                    {
                        fleet.isolate({0});
                        fleet.run(silence, excessive_load);
                        fleet.isolate({});
                        fleet.run(milliseconds(300), excessive_load);
                    }
                    check_window(fleet, rate, seed);
                }
    }

    // Guards against QUOTA: until the entries of the leader's group have left it, both groups
    // admit.
    void an_excess_during_a_partition_from_the_leader_stays_within_the_tolerated_rate()
    {
        for (auto const rate : rates)
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                quota_fleet fleet({.rate = rate, .seed = seed});
                fleet.run(seconds(10), usual_load);
                fleet.run(seconds(2), excessive_load);
                fleet.partition({0, 1, 2, 3});
                fleet.run(detach_time, excessive_load);
                fleet.attach_entries({4, 5, 6, 7, 8});
                fleet.run(seconds(5), excessive_load);
                check_window(fleet, rate, seed);
            }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_excess_test);

} // namespace

} // namespace mulberryrudder::testing
