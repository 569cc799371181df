#include "quota_checks.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

namespace mulberryrudder::testing
{

namespace
{

/// Most customers have such rates; a smaller one sends too few requests for a count of its own.
constexpr std::int64_t rates_of_most[] = {9, 30, 66, 240};
/// Enough for 500 requests of the smallest of these.
constexpr std::uint64_t seeds_of_refusals = 15;

class quota_refusal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_refusal_test);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused);
    CPPUNIT_TEST(entries_decide_themselves_while_control_is_silent);
    CPPUNIT_TEST(an_answer_that_waited_for_a_suspended_entry_admits_nothing);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused_while_control_has_no_leader);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused_while_its_leader_is_silent);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused_after_an_answer_was_lost);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused_while_entries_search_for_control);
    CPPUNIT_TEST(entries_that_find_no_control_refuse_within_an_answer_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals below the rate: split over 182 entries, the rate of a usual customer
    // left each entry one request in 20 s, and a sixth of the requests were refused.
    void a_customer_below_its_rate_is_seldom_refused()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            quota_fleet fleet({.rate = 9, .seed = seed});
            fleet.run(seconds(60), usual_load);
            auto const refused = sum_of(fleet.record().refused());
            auto const all = refused + sum_of(fleet.record().admitted());
            CPPUNIT_ASSERT(all > 250);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(all),
                                   refused * 20 <= all);
        }
    }

    void entries_decide_themselves_while_control_is_silent()
    {
        quota_fleet fleet({.rate = 240, .seed = 1});
        fleet.run(seconds(5), usual_load);
        auto const before = sum_of(fleet.record().admitted());
        fleet.isolate({0, 1, 2, 3, 4, 5, 6, 7, 8});
        fleet.run(seconds(5), usual_load);
        auto const admitted = sum_of(fleet.record().admitted()) - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted > 240 * 5 * 63 / 100 / 2);
    }

    // Guards against a permission that is used after its time: requests would be admitted by an
    // answer that arrived while the entry was suspended and was read after it.
    void an_answer_that_waited_for_a_suspended_entry_admits_nothing()
    {
        quota_fleet fleet({.controls = 1, .rate = 240, .seed = 1});
        std::set<std::size_t> all;
        for (std::size_t n = 0; n != 182; ++n)
            all.insert(n);
        fleet.run(milliseconds(10), excessive_load);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("all wait", 0, sum_of(fleet.record().admitted()));
        auto const asked = fleet.counter("quota.asked");
        fleet.suspend(all);
        fleet.run(seconds(3), per_mille(0));
        fleet.suspend({});
        fleet.run(milliseconds(10), per_mille(0));
        CPPUNIT_ASSERT(asked > 0);
        CPPUNIT_ASSERT_EQUAL(asked, fleet.counter("quota.unanswered"));
    }

    // Guards against SHORT: while no leader answered, the rates were split over 182 entries, and
    // most requests of customers below their rates were refused.
    void a_customer_below_its_rate_is_seldom_refused_while_control_has_no_leader()
    {
        for (auto const rate : rates_of_most)
            check_refusals(rate,
                           [](quota_fleet& fleet)
                           {
                               fleet.remove_leader();
                               fleet.run(seconds(6), usual_load);
                           });
    }

    // Guards against SHORT: until control knows that its leader is lost, questions to it went
    // unanswered, and entries did not ask again for a second.
    void a_customer_below_its_rate_is_seldom_refused_while_its_leader_is_silent()
    {
        for (auto const rate : rates_of_most)
            check_refusals(rate,
                           [](quota_fleet& fleet)
                           {
                               fleet.attach_entries({1, 2, 3, 4, 5, 6, 7, 8});
                               fleet.isolate({0});
                               fleet.run(seconds(1), usual_load);
                               fleet.remove_leader();
                               fleet.run(seconds(1), usual_load);
                               fleet.change_leader(3);
                               fleet.run(seconds(4), usual_load);
                           });
    }

    // Guards against SHORT: an entry refused what its own part did not cover for a second after a
    // single answer was lost.
    void a_customer_below_its_rate_is_seldom_refused_after_an_answer_was_lost()
    {
        for (auto const rate : rates_of_most)
            check_refusals(rate,
                           [](quota_fleet& fleet)
                           {
                               for (int n = 0; n != 4; ++n)
                               {
                                   fleet.isolate({0, 1, 2, 3, 4, 5, 6, 7, 8});
                                   fleet.run(milliseconds(100), usual_load);
                                   fleet.isolate({});
                                   fleet.run(milliseconds(1400), usual_load);
                               }
                           });
    }

    // Guards against SHORT: entries that had not chosen a control instance yet, as after a start of
    // all, refused at once what their own parts did not cover.
    void a_customer_below_its_rate_is_seldom_refused_while_entries_search_for_control()
    {
        for (auto const rate : rates_of_most)
            check_refusals(rate,
                           [](quota_fleet& fleet)
                           {
                               for (int n = 0; n != 4; ++n)
                               {
                                   fleet.detach_entries();
                                   fleet.run(milliseconds(200), usual_load);
                                   fleet.attach_entries({0, 1, 2, 3, 4, 5, 6, 7, 8});
                                   fleet.run(milliseconds(1300), usual_load);
                               }
                           });
    }

    void entries_that_find_no_control_refuse_within_an_answer_limit()
    {
        quota_fleet fleet({.rate = 240, .seed = 1});
        fleet.run(seconds(5), usual_load);
        fleet.detach_entries();
        fleet.run(milliseconds(500), excessive_load);
        auto const decided = sum_of(fleet.record().admitted()) + sum_of(fleet.record().refused());
        // What was sent in the last answer limit, and the tick after it, may still wait.
        fleet.run(milliseconds(260), per_mille(0));
        auto const all = sum_of(fleet.record().admitted()) + sum_of(fleet.record().refused());
        CPPUNIT_ASSERT(decided < all);
        fleet.run(seconds(2), per_mille(0));
        CPPUNIT_ASSERT_EQUAL(all,
                             sum_of(fleet.record().admitted()) + sum_of(fleet.record().refused()));
    }

private:
    /// Checks that at most a twentieth of a customer's requests are refused in a disturbance.
    static void check_refusals(std::int64_t rate, std::function<void(quota_fleet&)> const& disturb)
    {
        int refused = 0;
        int all = 0;
        for (std::uint64_t seed = 1; seed <= seeds_of_refusals; ++seed)
        {
            quota_fleet fleet({.rate = rate, .seed = seed});
            fleet.run(seconds(10), usual_load);
            auto const refused_before = sum_of(fleet.record().refused());
            auto const admitted_before = sum_of(fleet.record().admitted());
            disturb(fleet);
            refused += sum_of(fleet.record().refused()) - refused_before;
            all += sum_of(fleet.record().admitted()) - admitted_before;
        }
        all += refused;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(all) + ", rate " +
                                   std::to_string(rate),
                               refused * 20 <= all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_refusal_test);

} // namespace

} // namespace mulberryrudder::testing
