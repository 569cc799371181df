#include "tests/entry/routing_support/rig.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class retries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retries_test);
    CPPUNIT_TEST(a_refused_connection_is_retried_without_budget);
    CPPUNIT_TEST(an_idempotent_request_is_retried_within_the_budget);
    CPPUNIT_TEST(without_budget_nothing_is_retried);
    CPPUNIT_TEST(a_request_that_may_have_run_is_not_retried_unless_idempotent);
    CPPUNIT_TEST(a_shed_request_is_retried_though_not_idempotent);
    CPPUNIT_TEST(retries_never_amplify_an_overload);
    CPPUNIT_TEST(one_customers_failures_do_not_spend_anothers_budget);
    CPPUNIT_TEST(a_slow_idempotent_request_is_hedged_and_the_loser_cancelled);
    CPPUNIT_TEST(a_slow_payment_is_not_hedged);
    CPPUNIT_TEST(a_late_reply_is_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        it_.settle();
        for (auto const* const id : {"t1", "t2", "t3"})
            it_.tell(target_at(id, "m1", 50));
    }

    void a_refused_connection_is_retried_without_budget()
    {
        it_.ask(seconds(10), "", call_method::post);
        fail_all(attempt_failure::connect_refused, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("retries.connect_refused"));
    }

    void an_idempotent_request_is_retried_within_the_budget()
    {
        earn(10);
        it_.ask();
        fail_all(attempt_failure::timeout, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("retries.timeout"));
    }

    void without_budget_nothing_is_retried()
    {
        it_.ask();
        fail_all(attempt_failure::timeout, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<send_attempt>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("retries.denied_budget"));
    }

    void a_request_that_may_have_run_is_not_retried_unless_idempotent()
    {
        earn(20);
        it_.take<answer_caller>();
        it_.ask(seconds(10), "", call_method::post);
        fail_all(attempt_failure::closed, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<send_attempt>().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("retries.denied_unsafe"));
        auto const answer = it_.take<answer_caller>().at(0);
        CPPUNIT_ASSERT(std::get<refused>(answer.what).run == verdict::may_have_run);
    }

    void a_shed_request_is_retried_though_not_idempotent()
    {
        earn(20);
        it_.ask(seconds(10), "", call_method::post);
        fail_all(attempt_failure::shed, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
    }

    void retries_never_amplify_an_overload()
    {
        constexpr std::uint64_t offered = 5000;
        for (std::uint64_t n = 0; n != offered; ++n)
        {
            it_.ask();
            for (auto sent = it_.take<send_attempt>(); !sent.empty();
                 sent = it_.take<send_attempt>())
                for (auto const& it : sent)
                    it_.fail(it.id, attempt_failure::shed, verdict::not_run);
            it_.pass(milliseconds(200));
            announce_again();
        }
        auto const sent = it_.counter("attempts.sent");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent * 10 <= offered * 11);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent > offered);
    }

    void one_customers_failures_do_not_spend_anothers_budget()
    {
        earn(20, "good");
        it_.ask(seconds(10), "bad");
        fail_all(attempt_failure::timeout, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("retries.denied_budget"));
        it_.ask(seconds(10), "good");
        fail_all(attempt_failure::timeout, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("retries.timeout"));
    }

    void a_slow_idempotent_request_is_hedged_and_the_loser_cancelled()
    {
        earn(40);
        it_.take<cancel_attempt>();
        it_.ask();
        auto const first = it_.take<send_attempt>().at(0);
        it_.pass(milliseconds(40));
        auto const second = it_.take<send_attempt>().at(0);
        CPPUNIT_ASSERT(first.target != second.target);
        it_.reply_to(second.id);
        auto const cancelled = it_.take<cancel_attempt>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancelled.size());
        CPPUNIT_ASSERT_EQUAL(first.id.value(), cancelled[0].id.value());
    }

    void a_slow_payment_is_not_hedged()
    {
        earn(40);
        it_.ask(seconds(10), "", call_method::post);
        it_.take<send_attempt>();
        it_.pass(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<send_attempt>().size());
    }

    void a_late_reply_is_dropped()
    {
        it_.ask(milliseconds(100));
        auto const sent = it_.take<send_attempt>().at(0);
        it_.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<cancel_attempt>().size());
        it_.take<answer_caller>();
        it_.reply_to(sent.id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<answer_caller>().size());
    }

private:
    void fail_all(attempt_failure cause, verdict run)
    {
        for (auto const& it : it_.take<send_attempt>())
            it_.fail(it.id, cause, run);
    }

    void announce_again()
    {
        for (auto const* const id : {"t1", "t2", "t3"})
            it_.tell(target_at(id, "m1", 50));
    }

    /// Lets requests succeed, each after 10 ms, so that retries are earned.
    void earn(int n, std::string const& customer = "")
    {
        for (int done = 0; done != n; ++done)
        {
            it_.ask(seconds(10), customer);
            it_.pass(milliseconds(10));
            announce_again();
            for (auto const& it : it_.take<send_attempt>())
                it_.reply_to(it.id);
        }
    }

    rig it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(retries_test);

} // namespace

} // namespace mulberryrudder::entry
