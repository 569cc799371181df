#include "claims_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::size_t fleet_size = 6;

/// One key with the callers that send it again and again.
struct resent_key
{
    std::string key;
    int sendings = 0;
};

class claims_invariants_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_invariants_test);
    CPPUNIT_TEST(nothing_runs_twice_and_no_refusal_lies_under_faults);
    CPPUNIT_TEST(keepers_lost_one_after_the_other_lose_nothing);
    CPPUNIT_TEST(without_faults_it_answers_like_a_single_map);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_runs_twice_and_no_refusal_lies_under_faults()
    {
        std::size_t keys_run = 0;
        std::size_t answered = 0;
        for (std::uint64_t seed = 1; seed <= 1000; ++seed)
        {
            claims_fleet fleet(seed, fleet_size, faults_of(seed));
            run_schedule(fleet);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         fleet.faults_found());
            keys_run += fleet.keys_run();
            answered += fleet.replies();
        }
        std::cout << " [" << keys_run << " keys ran, " << answered << " replies] ";
        CPPUNIT_ASSERT(keys_run > 3000);
    }

    void keepers_lost_one_after_the_other_lose_nothing()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
        {
            claims_fleet fleet(seed, fleet_size, {.lost = 0.02, .most_delay = milliseconds(60)});
            lose_keepers(fleet);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         fleet.faults_found());
        }
    }

    void without_faults_it_answers_like_a_single_map()
    {
        claims_fleet fleet(7, fleet_size, {});
        std::map<std::string, int> naive;
        std::vector<std::string> keys;
        for (int n = 0; n != 500; ++n)
        {
            if (n % 4 == 0)
                keys.push_back(fleet.make_key());
            auto const& key =
                keys[keys.size() - 1 - fleet.random() % std::min<std::size_t>(keys.size(), 5)];
            naive.emplace(key, 1);
            auto const id = fleet.send(fleet.random() % fleet_size, key);
            fleet.run_for(milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(id));
            CPPUNIT_ASSERT_EQUAL(naive.at(key), fleet.runs(key));
        }
        CPPUNIT_ASSERT_EQUAL(naive.size(), fleet.keys_run());
    }

private:
    static fleet_faults faults_of(std::uint64_t seed)
    {
        return {.lost = 0.01 * static_cast<double>(seed % 20),
                .duplicated = 0.05,
                .most_delay = milliseconds(seed % 3 == 0 ? 250 : 50),
                .attempt_fails = 0.2,
                .most_run = milliseconds(seed % 2 == 0 ? 1200 : 200)};
    }

    static void run_schedule(claims_fleet& fleet)
    {
        std::vector<resent_key> keys;
        for (int n = 0; n != 60; ++n)
        {
            if (n % 6 == 0)
                keys.push_back(
                    {fleet.make_key(milliseconds(static_cast<int>(fleet.random() % 200) - 100))});
            auto& it =
                keys[keys.size() - 1 - fleet.random() % std::min<std::size_t>(keys.size(), 3)];
            ++it.sendings;
            fleet.send(fleet.random() % fleet_size, it.key);
            if (fleet.random() % 4 == 0)
                fleet.send(fleet.random() % fleet_size, it.key);
            disturb(fleet, it.key);
            fleet.run_for(milliseconds(fleet.random() % 700));
        }
        fleet.run_for(seconds(4));
    }

    /// Hits the keepers of the key that was just sent more often than others.
    static void disturb(claims_fleet& fleet, std::string const& key)
    {
        auto const keepers = fleet.keepers_of_key(key);
        auto const which = !keepers.empty() && fleet.random() % 2 == 0
                               ? keepers[fleet.random() % keepers.size()]
                               : fleet.random() % fleet_size;
        switch (fleet.random() % 12)
        {
        case 0:
            return fleet.restart(which, milliseconds(fleet.random() % 1500));
        case 1:
            return fleet.cut(which, milliseconds(fleet.random() % 3000));
        case 2:
            return fleet.set_member(which, fleet.random() % 3 != 0);
        case 3:
            for (std::size_t n = 0; n != fleet_size; ++n)
                fleet.set_member(n, true);
            return;
        default:
            return;
        }
    }

    /// A key runs; then its keepers restart in turn, each right after the repair of
    /// the one before, and the key is sent again meanwhile.
    static void lose_keepers(claims_fleet& fleet)
    {
        fleet.run_for(seconds(3));
        auto const key = fleet.make_key();
        fleet.send(fleet.random() % fleet_size, key);
        fleet.run_for(milliseconds(fleet.random() % 400));
        for (auto const it : fleet.keepers_of_key(key))
        {
            fleet.restart(it, milliseconds(50 + fleet.random() % 300));
            fleet.run_for(milliseconds(500 + fleet.random() % 2500));
            fleet.send(fleet.random() % fleet_size, key);
            fleet.run_for(milliseconds(fleet.random() % 500));
        }
        fleet.run_for(seconds(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_invariants_test);

} // namespace

} // namespace mulberryrudder::entry
