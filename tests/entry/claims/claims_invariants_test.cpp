#include "claims_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::size_t fleet_size = 6;

/// A key that callers send repeatedly.
struct resent_key
{
    std::string key;
    int send_count = 0;
};

class claims_invariants_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_invariants_test);
    CPPUNIT_TEST(under_faults_no_key_runs_twice_and_no_request_refused_as_not_run_ran);
    CPPUNIT_TEST(restarting_keepers_in_turn_loses_no_claims);
    CPPUNIT_TEST(without_faults_each_key_runs_once_as_in_a_reference_map);
    CPPUNIT_TEST_SUITE_END();

public:
    void under_faults_no_key_runs_twice_and_no_request_refused_as_not_run_ran()
    {
        std::size_t keys_run = 0;
        std::size_t answered = 0;
        for (std::uint64_t seed = 1; seed <= 1000; ++seed)
        {
            claims_fleet fleet(seed, fleet_size, faults_of(seed));
            run_schedule(fleet);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         fleet.violations());
            keys_run += fleet.keys_run();
            answered += fleet.replies();
        }
        std::cout << " [" << keys_run << " keys ran, " << answered << " replies] ";
        CPPUNIT_ASSERT(keys_run > 3000);
    }

    void restarting_keepers_in_turn_loses_no_claims()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
        {
            claims_fleet fleet(seed, fleet_size,
                               {.message_loss = 0.02, .max_delay = milliseconds(60)});
            restart_keepers(fleet);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         fleet.violations());
        }
    }

    void without_faults_each_key_runs_once_as_in_a_reference_map()
    {
        claims_fleet fleet(7, fleet_size, {});
        std::map<std::string, int> reference;
        std::vector<std::string> keys;
        for (int n = 0; n != 500; ++n)
        {
            if (n % 4 == 0)
                keys.push_back(fleet.make_key());
            auto const& key =
                keys[keys.size() - 1 - fleet.random() % std::min<std::size_t>(keys.size(), 5)];
            reference.emplace(key, 1);
            auto const id = fleet.send(fleet.random() % fleet_size, key);
            fleet.run_for(milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(id));
            CPPUNIT_ASSERT_EQUAL(reference.at(key), fleet.runs(key));
        }
        CPPUNIT_ASSERT_EQUAL(reference.size(), fleet.keys_run());
    }

private:
    static fleet_faults faults_of(std::uint64_t seed)
    {
        return {.message_loss = 0.01 * static_cast<double>(seed % 20),
                .message_duplication = 0.05,
                .max_delay = milliseconds(seed % 3 == 0 ? 250 : 50),
                .attempt_failure = 0.2,
                .max_run_time = milliseconds(seed % 2 == 0 ? 1200 : 200)};
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
            ++it.send_count;
            fleet.send(fleet.random() % fleet_size, it.key);
            if (fleet.random() % 4 == 0)
                fleet.send(fleet.random() % fleet_size, it.key);
            inject_fault(fleet, it.key);
            fleet.run_for(milliseconds(fleet.random() % 700));
        }
        fleet.run_for(seconds(4));
    }

    /// Injects a random fault; in about half of the calls at a keeper of the key just sent.
    static void inject_fault(claims_fleet& fleet, std::string const& key)
    {
        auto const keepers = fleet.keepers_of_key(key);
        auto const index = !keepers.empty() && fleet.random() % 2 == 0
                               ? keepers[fleet.random() % keepers.size()]
                               : fleet.random() % fleet_size;
        switch (fleet.random() % 12)
        {
        case 0:
            return fleet.restart(index, milliseconds(fleet.random() % 1500));
        case 1:
            return fleet.isolate(index, milliseconds(fleet.random() % 3000));
        case 2:
            return fleet.set_member(index, fleet.random() % 3 != 0);
        case 3:
            for (std::size_t n = 0; n != fleet_size; ++n)
                fleet.set_member(n, true);
            return;
        default:
            return;
        }
    }

    /// Restarts the keepers of a key in turn, each after the previous one had time to
    /// recover its records, and resends the key in between.
    static void restart_keepers(claims_fleet& fleet)
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
