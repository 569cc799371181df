#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

/// Time after which a request is decided that waits for a control instance in vain.
constexpr milliseconds answer_limit{250};

/// Sends `count` requests evenly spaced over `duration`.
std::vector<request_id> send_evenly(plan_bench& bench, int count, span duration)
{
    std::vector<request_id> out;
    for (int n = 0; n != count; ++n)
    {
        out.push_back(bench.send_request("/keyed/x", "", "key"));
        bench.advance(duration / count);
    }
    return out;
}

/// Waits until all of these requests are decided; returns how many are admitted.
int count_admitted(plan_bench& bench, std::vector<request_id> const& sent)
{
    bench.advance(answer_limit);
    return static_cast<int>(std::count_if(sent.begin(), sent.end(),
                                          [&](request_id id)
                                          { return bench.outcome_of(id) != "over_quota"; }));
}

class quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_test);
    CPPUNIT_TEST(requests_within_a_customers_rate_are_admitted);
    CPPUNIT_TEST(requests_beyond_a_customers_rate_are_limited_to_it);
    CPPUNIT_TEST(a_refusal_states_the_retry_delay);
    CPPUNIT_TEST(all_instances_together_stay_within_the_tolerated_rate);
    CPPUNIT_TEST(a_sudden_excess_of_a_large_customer_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(a_customer_without_a_limit_is_never_refused);
    CPPUNIT_TEST(open_routes_consume_no_quota);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_within_a_customers_rate_are_admitted()
    {
        plan_bench bench;
        // Begins the part, which is nearly empty at first.
        bench.send_request("/keyed/x", "", "key");
        bench.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(90, count_admitted(bench, send_evenly(bench, 90, seconds(10))));
    }

    void requests_beyond_a_customers_rate_are_limited_to_it()
    {
        plan_bench bench;
        send_evenly(bench, 250, seconds(5));
        // The rate is 10 a second; the requests above emptied the part.
        auto const admitted = count_admitted(bench, send_evenly(bench, 250, seconds(5)));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted >= 48 && admitted <= 52);
    }

    void a_refusal_states_the_retry_delay()
    {
        plan_bench bench;
        auto last = bench.send_request("/keyed/x", "", "key");
        for (int n = 0; n != 100; ++n)
            last = bench.send_request("/keyed/x", "", "key");
        bench.advance(answer_limit);
        CPPUNIT_ASSERT_EQUAL(std::string("over_quota"), bench.outcome_of(last));
        auto const& refusal = bench.refusal(last);
        CPPUNIT_ASSERT(refusal.run == verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{429}, refusal.why->what().status);
        CPPUNIT_ASSERT(refusal.retry_after && *refusal.retry_after <= milliseconds(600));
    }

    /// One customer sends many times its rate to all instances.
    void all_instances_together_stay_within_the_tolerated_rate()
    {
        constexpr int instances = 11;
        std::vector<std::unique_ptr<plan_bench>> all;
        for (int n = 0; n != instances; ++n)
        {
            all.push_back(std::make_unique<plan_bench>());
            all.back()->plan().entry_count = instances;
        }
        int admitted = 0;
        for (auto const& it : all)
        {
            std::vector<request_id> sent;
            for (int tenth = 0; tenth != 50; ++tenth)
            {
                sent.push_back(it->send_request("/keyed/x", "", "key"));
                it->advance(milliseconds(100));
            }
            // Some wait for a control instance before they are decided.
            it->advance(seconds(1));
            for (auto const id : sent)
                admitted += it->outcome_of(id) != "over_quota";
        }
        // The rate for five seconds and the burst, plus a tenth, plus 20 requests.
        auto const tolerated = (10 * 5 + 5) * 11 / 10 + 20;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted <= tolerated);
    }

    /// A customer with a high rate sends a third of it and then, without transition, eight
    /// times as much, while no instance reaches control (found in scenario bad-version of
    /// basamak-yaris, seed 400678622337: 1670 requests were admitted in five seconds, 1611 are
    /// tolerated).
    void a_sudden_excess_of_a_large_customer_stays_within_the_tolerated_rate()
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
            it->set_plan(plan);
            it->plan().entry_count = instances;
        }
        std::vector<std::vector<std::pair<plan_bench*, request_id>>> sent(150);
        for (std::size_t tenth = 0; tenth != sent.size(); ++tenth)
            for (auto const& it : all)
            {
                int const count = tenth < 50 ? 1 : 6;
                for (int n = 0; n != count; ++n)
                {
                    sent.at(tenth).emplace_back(it.get(), it->send_request("/keyed/x", "", "key"));
                    it->advance(milliseconds(100) / count);
                }
            }
        for (auto const& it : all)
            it->advance(answer_limit);
        std::vector<int> admitted; // Of those sent in each tenth of a second.
        admitted.reserve(sent.size());
        for (auto const& tenth : sent)
            admitted.push_back(static_cast<int>(std::count_if(
                tenth.begin(), tenth.end(),
                [](auto const& it) { return it.first->outcome_of(it.second) != "over_quota"; })));
        auto const tolerated = static_cast<int>((rate * 5 + rate) * 11 / 10 + 20);
        for (std::size_t n = 0; n + 50 <= admitted.size(); ++n)
        {
            auto const window_start = admitted.begin() + static_cast<std::ptrdiff_t>(n);
            auto const sum = std::accumulate(window_start, window_start + 50, 0);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sum), sum <= tolerated);
        }
    }

    void a_customer_without_a_limit_is_never_refused()
    {
        plan_bench bench;
        auto plan = testing::sample_plan();
        plan.customers.front().rate = millitokens_per_second();
        bench.set_plan(plan);
        CPPUNIT_ASSERT_EQUAL(500, count_admitted(bench, send_evenly(bench, 500, seconds(1))));
    }

    void open_routes_consume_no_quota()
    {
        plan_bench bench;
        for (int n = 0; n != 500; ++n)
            CPPUNIT_ASSERT(bench.outcome_of(bench.send_request("/read/x")) != "over_quota");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

} // namespace

} // namespace mulberryrudder::entry
