#include "plugins/control/rollouts/rollout_comparison.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace mulberryrudder::control
{

namespace
{

class rollout_comparison_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_comparison_test);
    CPPUNIT_TEST(failures_count_although_replies_of_both_versions_are_lost);
    CPPUNIT_TEST(lost_replies_of_few_targets_are_no_fault_of_the_version);
    CPPUNIT_TEST(a_version_that_breaks_most_connections_is_worse_whatever_the_old_one_does);
    CPPUNIT_TEST(timeouts_count_although_the_old_version_is_slow);
    CPPUNIT_TEST(few_failures_make_a_version_suspected);
    CPPUNIT_TEST(few_answers_are_no_evidence);
    CPPUNIT_TEST(a_single_failure_makes_no_version_suspected);
    CPPUNIT_TEST(a_version_with_equal_or_lower_rates_is_not_worse);
    CPPUNIT_TEST(a_version_that_fails_half_of_what_the_old_one_serves_is_worse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against EXPOSURE as played: of 25 answers 6 were failures and 2 were lost, while
    // 242 in 1000 replies of the old version were lost.
    void failures_count_although_replies_of_both_versions_are_lost()
    {
        CPPUNIT_ASSERT(compare({.answered = 25, .failed = 6, .broken = 2},
                               {.answered = 1000, .failed = 4, .broken = 238}) ==
                       rollout_comparison::worse);
    }

    // With 40% of the replies of 60% of the targets lost, a version on two such targets loses
    // 40%, the old version 24%.
    void lost_replies_of_few_targets_are_no_fault_of_the_version()
    {
        CPPUNIT_ASSERT(compare({.answered = 100, .broken = 40},
                               {.answered = 2000, .broken = 480}) == rollout_comparison::not_worse);
    }

    void a_version_that_breaks_most_connections_is_worse_whatever_the_old_one_does()
    {
        CPPUNIT_ASSERT(compare({.answered = 50, .broken = 45}, {.answered = 1000, .broken = 300}) ==
                       rollout_comparison::worse);
    }

    void timeouts_count_although_the_old_version_is_slow()
    {
        CPPUNIT_ASSERT(compare({.answered = 100, .late = 95}, {.answered = 2000, .late = 1100}) ==
                       rollout_comparison::worse);
    }

    void few_failures_make_a_version_suspected()
    {
        CPPUNIT_ASSERT(compare({.answered = 25, .failed = 5}, {.answered = 1000, .failed = 4}) ==
                       rollout_comparison::suspected);
    }

    // Guards against EXPOSURE as played: a version that fails under load only succeeded with 23
    // answers, 2 of them bad, beside 1217 answers of the old one.
    void few_answers_are_no_evidence()
    {
        outcome_counts const old{.answered = 1217, .broken = 243, .late = 56};
        CPPUNIT_ASSERT(!has_evidence({.answered = 23, .failed = 2}, old, {}));
        CPPUNIT_ASSERT(compare({.answered = 23, .failed = 2}, old) ==
                       rollout_comparison::suspected);
        CPPUNIT_ASSERT(has_evidence({.answered = 40}, old, {}));
        CPPUNIT_ASSERT(has_evidence({.answered = 2}, {.answered = 20}, {}));
        CPPUNIT_ASSERT(has_evidence({}, {}, {}));
    }

    void a_single_failure_makes_no_version_suspected()
    {
        CPPUNIT_ASSERT(compare({.answered = 10, .failed = 1}, {.answered = 200}) ==
                       rollout_comparison::not_worse);
    }

    void a_version_with_equal_or_lower_rates_is_not_worse()
    {
        CPPUNIT_ASSERT(rc::check(
            "a version with equal or lower rates is not worse",
            []
            {
                auto const answered = *rc::gen::inRange<std::uint64_t>(1, 1000);
                auto const failed = *rc::gen::inRange<std::uint64_t>(0, answered + 1);
                auto const broken = *rc::gen::inRange<std::uint64_t>(0, answered - failed + 1);
                outcome_counts const lower{
                    .answered = answered,
                    .failed = *rc::gen::inRange<std::uint64_t>(0, failed + 1),
                    .broken = *rc::gen::inRange<std::uint64_t>(0, broken + 1)};
                outcome_counts const old{.answered = answered, .failed = failed, .broken = broken};
                RC_ASSERT(compare(lower, old) == rollout_comparison::not_worse);
            }));
    }

    void a_version_that_fails_half_of_what_the_old_one_serves_is_worse()
    {
        CPPUNIT_ASSERT(rc::check("a version that fails half of what the old one serves is worse",
                                 []
                                 {
                                     auto const lost = *rc::gen::inRange<std::uint64_t>(0, 601);
                                     auto const answered =
                                         *rc::gen::inRange<std::uint64_t>(60, 1000);
                                     auto const broken = answered * lost / 1000;
                                     outcome_counts const bad{.answered = answered,
                                                              .failed = (answered - broken) / 2,
                                                              .broken = broken};
                                     outcome_counts const old{.answered = 1000, .broken = lost};
                                     RC_ASSERT(compare(bad, old) == rollout_comparison::worse);
                                 }));
    }

private:
    static rollout_comparison compare(outcome_counts const& new_counts,
                                      outcome_counts const& old_counts)
    {
        return compare_versions(new_counts, old_counts, comparison_limits{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_comparison_test);

} // namespace

} // namespace mulberryrudder::control
