#include "plugins/control/rollouts/outcome_history.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace mulberryrudder::control
{

namespace
{

constexpr per_mille max_part{30};

class outcome_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outcome_history_test);
    CPPUNIT_TEST(outcomes_near_a_fault_of_the_old_version_are_left_out_before_and_after_it);
    CPPUNIT_TEST(a_fault_of_another_kind_leaves_no_outcomes_out);
    CPPUNIT_TEST(a_time_with_few_answers_is_assessed_by_those_around_it);
    CPPUNIT_TEST(without_answers_of_the_old_version_no_outcome_is_undisturbed);
    CPPUNIT_TEST(totals_that_fall_add_nothing);
    CPPUNIT_TEST(an_excess_that_chance_explains_makes_no_version_worse);
    CPPUNIT_TEST(a_version_that_breaks_several_times_as_many_connections_is_worse);
    CPPUNIT_TEST(a_version_that_fails_no_more_than_its_limit_is_not_worse_while_old_serves);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the rollback of a good version whose targets a fault hits a little sooner
    // or later than those of the old version.
    void outcomes_near_a_fault_of_the_old_version_are_left_out_before_and_after_it()
    {
        append(10, {.answered = 2}, {.answered = 40});
        append(1, {.answered = 2}, {.answered = 40, .failed = 20});
        append(10, {.answered = 2}, {.answered = 40});
        auto const out = history_.undisturbed(&outcome_counts::failed, max_part);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, out.old_version.failed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2} * (21 - 7), out.new_version.answered);
    }

    // Guards against EXPOSURE: lost replies of the old version say nothing about failures.
    void a_fault_of_another_kind_leaves_no_outcomes_out()
    {
        append(10, {.answered = 2}, {.answered = 40, .broken = 20});
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{20},
            history_.undisturbed(&outcome_counts::failed, max_part).new_version.answered);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0},
            history_.undisturbed(&outcome_counts::broken, max_part).new_version.answered);
    }

    // Guards against the rollback of a good version where requests are rare: that none of two
    // answers is bad does not show that a fault has ended.
    void a_time_with_few_answers_is_assessed_by_those_around_it()
    {
        append(5, {.answered = 1}, {.answered = 2, .failed = 1});
        append(5, {.answered = 1}, {.answered = 2});
        auto const failed = &outcome_counts::failed;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             history_.undisturbed(failed, max_part).new_version.answered);
        append(10, {.answered = 1}, {.answered = 2});
        CPPUNIT_ASSERT(history_.undisturbed(failed, max_part).new_version.answered > 0);
    }

    // Guards against the rollback of a version that is compared with nothing.
    void without_answers_of_the_old_version_no_outcome_is_undisturbed()
    {
        append(20, {.answered = 10, .failed = 10}, {});
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0},
            history_.undisturbed(&outcome_counts::failed, max_part).new_version.answered);
    }

    // Guards against immense counts: an entry that lost sight of the rollout counts anew, so
    // that a total of failures can fall.
    void totals_that_fall_add_nothing()
    {
        append(1, {.answered = 20, .failed = 5}, {.answered = 100});
        now_ += milliseconds(200);
        history_.append(now_, {.new_version = {.answered = 21}, .old_version = {.answered = 200}});
        auto const out = history_.undisturbed(&outcome_counts::failed, max_part);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{21}, out.new_version.answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, out.new_version.failed);
    }

    // Guards against the rollback of a good version that a fault of the environment hit alone.
    void an_excess_that_chance_explains_makes_no_version_worse()
    {
        append(9, {.answered = 10}, {.answered = 100});
        append(1, {.answered = 10, .failed = 8}, {.answered = 100});
        CPPUNIT_ASSERT(!is_worse_while_old_serves(history_, {}));
        append(1, {.answered = 10, .failed = 8}, {.answered = 100});
        CPPUNIT_ASSERT(is_worse_while_old_serves(history_, {}));
    }

    // Guards against EXPOSURE: lost replies of the old version's targets hid a new version that
    // breaks some connections, though fewer than the limit for a single kind of outcome.
    void a_version_that_breaks_several_times_as_many_connections_is_worse()
    {
        append(20, {.answered = 10, .broken = 3}, {.answered = 100, .broken = 90});
        CPPUNIT_ASSERT(!is_worse_while_old_serves(history_, {}));
        append(8, {.answered = 10, .broken = 3}, {.answered = 100, .broken = 1});
        CPPUNIT_ASSERT(is_worse_while_old_serves(history_, {}));
    }

    // Guards against the rollback of a good version whatever the times of the old one's faults.
    void a_version_that_fails_no_more_than_its_limit_is_not_worse_while_old_serves()
    {
        CPPUNIT_ASSERT(rc::check(
            "a version that fails no more than its limit is not worse while the old one serves",
            []
            {
                outcome_history history;
                compared_counts totals;
                instant now{};
                auto const steps = *rc::gen::inRange(1, 60);
                for (int n = 0; n != steps; ++n)
                {
                    now += milliseconds(200);
                    totals.new_version.answered += 100;
                    totals.new_version.failed += *rc::gen::inRange<std::uint64_t>(0, 6);
                    totals.old_version.answered += 100;
                    totals.old_version.failed += *rc::gen::inRange<std::uint64_t>(0, 101);
                    history.append(now, totals);
                }
                RC_ASSERT(!is_worse_while_old_serves(history, {}));
            }));
    }

private:
    /// Adds outcomes a number of times, one time each 200 ms.
    void append(int times, outcome_counts const& new_counts, outcome_counts const& old_counts)
    {
        for (int n = 0; n != times; ++n)
        {
            now_ += milliseconds(200);
            add(totals_.new_version, new_counts);
            add(totals_.old_version, old_counts);
            history_.append(now_, totals_);
        }
    }

    static void add(outcome_counts& sum, outcome_counts const& counts)
    {
        sum.answered += counts.answered;
        sum.failed += counts.failed;
        sum.broken += counts.broken;
    }

    outcome_history history_;
    compared_counts totals_;
    instant now_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_history_test);

} // namespace

} // namespace mulberryrudder::control
