#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <numeric>
#include <vector>

#include <memory>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

/// Returns how many of `count` requests that come evenly within `time` are let through.
int let_through(plan_bench& it, int count, span time)
{
    int out = 0;
    for (int n = 0; n != count; ++n)
    {
        out += it.told(it.ask("/keyed/x", "", "key")) != "over_quota";
        it.pass(time / count);
    }
    return out;
}

class quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_test);
    CPPUNIT_TEST(a_customer_within_its_rate_is_let_through);
    CPPUNIT_TEST(a_customer_beyond_its_rate_is_held_to_it);
    CPPUNIT_TEST(a_refusal_tells_when_to_return);
    CPPUNIT_TEST(all_instances_together_stay_within_what_is_tolerated);
    CPPUNIT_TEST(a_large_customer_that_begins_to_ask_too_much_stays_within_what_is_tolerated);
    CPPUNIT_TEST(a_customer_without_a_limit_is_never_refused);
    CPPUNIT_TEST(open_routes_cost_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_customer_within_its_rate_is_let_through()
    {
        plan_bench it;
        CPPUNIT_ASSERT_EQUAL(90, let_through(it, 90, seconds(10)));
    }

    void a_customer_beyond_its_rate_is_held_to_it()
    {
        plan_bench it;
        it.plan().demand = millitokens_per_second(50'000);
        let_through(it, 250, seconds(5));
        // Rate 10 a second; the bucket was drained before.
        auto const through = let_through(it, 250, seconds(5));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(through), through >= 48 && through <= 52);
    }

    void a_refusal_tells_when_to_return()
    {
        plan_bench it;
        it.plan().demand = millitokens_per_second(50'000);
        request_id last;
        while (it.told(last = it.ask("/keyed/x", "", "key")) != "over_quota")
        {
        }
        auto const& no = it.refusal(last);
        CPPUNIT_ASSERT(no.run == verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{429}, no.why->what().status);
        CPPUNIT_ASSERT(no.retry_after && *no.retry_after <= milliseconds(600));
    }

    /// Pattern: one customer sends many times its rate, at all instances.
    void all_instances_together_stay_within_what_is_tolerated()
    {
        constexpr int instances = 11;
        std::vector<std::unique_ptr<plan_bench>> all;
        for (int n = 0; n != instances; ++n)
        {
            all.push_back(std::make_unique<plan_bench>());
            all.back()->plan().all = instances;
            all.back()->plan().share = per_mille(1000 / instances);
            // What the fleet is asked for is known after a moment only.
            all.back()->plan().demand = millitokens_per_second(0);
        }
        int through = 0;
        for (int tenth = 0; tenth != 50; ++tenth)
            for (auto const& it : all)
            {
                if (tenth == 15)
                    it->plan().demand = millitokens_per_second(80'000);
                through += let_through(*it, 1, milliseconds(100));
            }
        // Five seconds of the rate and the burst, a tenth beyond, and 20 requests.
        auto const tolerated = (10 * 5 + 5) * 11 / 10 + 20;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(through), through <= tolerated);
    }

    /// Pattern: a customer with a high rate asks for a third of it and then, at once, for
    /// eight times as much; instances hear of it two seconds later (found by a hunt on
    /// basamak-yaris, bad-version with seed 400678622337: 1670 in five seconds, 1611 are
    /// tolerated).
    void a_large_customer_that_begins_to_ask_too_much_stays_within_what_is_tolerated()
    {
        constexpr int instances = 11;
        constexpr std::int64_t rate = 240;
        std::vector<std::unique_ptr<plan_bench>> all;
        for (int n = 0; n != instances; ++n)
        {
            auto const& it = all.emplace_back(std::make_unique<plan_bench>());
            auto plan = testing::sample_plan();
            plan.customers.front().rate = millitokens_per_second(rate * 1000);
            plan.customers.front().burst = millitokens(rate * 1000);
            it->put(plan);
            it->plan().all = instances;
            it->plan().share = per_mille(1000 / instances);
            it->plan().demand = millitokens_per_second(80'000);
        }
        std::vector<int> through; // In each tenth of a second.
        for (int tenth = 0; tenth != 150; ++tenth)
        {
            bool const hot = tenth >= 50;
            through.push_back(0);
            for (auto const& it : all)
            {
                if (tenth == 70)
                    it->plan().demand = millitokens_per_second(640'000);
                through.back() += let_through(*it, hot ? 6 : 1, milliseconds(100));
            }
        }
        auto const tolerated = static_cast<int>((rate * 5 + rate) * 11 / 10 + 20);
        for (std::size_t n = 0; n + 50 <= through.size(); ++n)
        {
            auto const from = through.begin() + static_cast<std::ptrdiff_t>(n);
            auto const sum = std::accumulate(from, from + 50, 0);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sum), sum <= tolerated);
        }
    }

    void a_customer_without_a_limit_is_never_refused()
    {
        plan_bench it;
        auto plan = testing::sample_plan();
        plan.customers.front().rate = millitokens_per_second();
        it.put(plan);
        CPPUNIT_ASSERT_EQUAL(500, let_through(it, 500, seconds(1)));
    }

    void open_routes_cost_nothing()
    {
        plan_bench it;
        for (int n = 0; n != 500; ++n)
            CPPUNIT_ASSERT(it.told(it.ask("/read/x")) != "over_quota");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

} // namespace

} // namespace mulberryrudder::entry
