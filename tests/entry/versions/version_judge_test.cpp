#include "plugins/entry/versions/version_judge.hpp"

#include <mulberryrudder/core/random.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

/// How a version under test behaves.
struct behaviour
{
    double failing = 0.01;
    double mean_ms = 10;
};

class version_judge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_judge_test);
    CPPUNIT_TEST(a_version_that_always_fails_is_found_within_ten_outcomes);
    CPPUNIT_TEST(a_version_that_fails_later_is_found_as_fast);
    CPPUNIT_TEST(a_version_that_slows_down_is_found);
    CPPUNIT_TEST(a_good_version_beside_a_noisy_old_one_is_kept);
    CPPUNIT_TEST(cold_caches_are_forgiven);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_version_that_always_fails_is_found_within_ten_outcomes()
    {
        auto it = judge();
        feed_old(it, {}, 500);
        CPPUNIT_ASSERT(outcomes_until_found(it, {.failing = 1.0}, 1000) <= 10);
    }

    void a_version_that_fails_later_is_found_as_fast()
    {
        auto it = judge();
        feed_old(it, {}, 500);
        CPPUNIT_ASSERT_EQUAL(5000, outcomes_until_found(it, {}, 5000));
        CPPUNIT_ASSERT(outcomes_until_found(it, {.failing = 1.0}, 1000) <= 10);
    }

    void a_version_that_slows_down_is_found()
    {
        auto it = judge();
        feed_old(it, {}, 500);
        CPPUNIT_ASSERT(outcomes_until_found(it, {.mean_ms = 50}, 1000) < 150);
    }

    void a_good_version_beside_a_noisy_old_one_is_kept()
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
        {
            random_.seed(seed);
            auto it = judge();
            behaviour const noisy{.failing = 0.05};
            for (int n = 0; n != 20; ++n)
            {
                feed_old(it, noisy, 100);
                outcomes_until_found(it, noisy, 100);
            }
            CPPUNIT_ASSERT_MESSAGE("found bad with seed " + std::to_string(seed), !it.is_bad());
        }
    }

    void cold_caches_are_forgiven()
    {
        auto it = judge();
        feed_old(it, {}, 500);
        CPPUNIT_ASSERT_EQUAL(30, outcomes_until_found(it, {.mean_ms = 200}, 30));
        CPPUNIT_ASSERT_EQUAL(1000, outcomes_until_found(it, {}, 1000));
    }

private:
    static version_judge judge()
    {
        return version_judge({.false_alarm_outcomes = 1'000'000, .warm_up = requests(30)});
    }

    version_outcome draw(behaviour const& of)
    {
        std::bernoulli_distribution fails(of.failing);
        std::exponential_distribution<double> took(1.0 / of.mean_ms);
        return {.failed = fails(random_),
                .took = span(static_cast<span::rep>(1000.0 * took(random_)))};
    }

    void feed_old(version_judge& it, behaviour const& of, int count)
    {
        for (int n = 0; n != count; ++n)
            it.add_old(draw(of));
    }

    /// Returns how many outcomes the new version had when it was found bad, or `most`.
    int outcomes_until_found(version_judge& it, behaviour const& of, int most)
    {
        for (int n = 0; n != most; ++n)
        {
            it.add_new(draw(of));
            if (it.is_bad())
                return n + 1;
        }
        return most;
    }

    random_source random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_judge_test);

} // namespace

} // namespace mulberryrudder::entry
