#include "claims_fleet.hpp"

#include "plugins/entry/claims/claim_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class claims_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_test);
    CPPUNIT_TEST(a_resend_to_another_instance_gets_the_reply_of_the_first_request);
    CPPUNIT_TEST(a_resend_while_the_first_request_runs_is_refused_as_in_progress);
    CPPUNIT_TEST(a_resend_after_the_claimant_restarted_is_refused_as_may_have_run);
    CPPUNIT_TEST(a_key_with_other_content_is_refused);
    CPPUNIT_TEST(a_key_that_is_not_a_version_7_uuid_is_refused);
    CPPUNIT_TEST(a_key_older_than_the_window_is_refused);
    CPPUNIT_TEST(a_key_with_a_future_creation_time_is_refused);
    CPPUNIT_TEST(a_request_does_not_run_without_a_majority_of_keepers);
    CPPUNIT_TEST(a_request_runs_with_one_unreachable_keeper);
    CPPUNIT_TEST(an_isolated_instance_refuses_keyed_requests);
    CPPUNIT_TEST(a_released_claim_can_be_claimed_again);
    CPPUNIT_TEST(the_reply_survives_restarts_of_all_keepers_in_turn);
    CPPUNIT_TEST(after_two_keepers_restart_at_once_older_keys_are_refused_and_new_keys_accepted);
    CPPUNIT_TEST(after_a_keeper_change_older_keys_do_not_run_again_and_new_keys_are_accepted);
    CPPUNIT_TEST(a_reply_over_the_size_limit_is_dropped_and_its_claim_recorded_as_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_resend_to_another_instance_gets_the_reply_of_the_first_request()
    {
        auto const key = fleet_.make_key();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), send_and_wait(0, key));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), send_and_wait(5, key));
        CPPUNIT_ASSERT_EQUAL(1, fleet_.runs(key));
    }

    void a_resend_while_the_first_request_runs_is_refused_as_in_progress()
    {
        claims_fleet fleet(1, 6, {.max_run_time = seconds(100)});
        auto const key = fleet.make_key();
        fleet.send(0, key, "x", seconds(20));
        fleet.run_for(milliseconds(500));
        auto const again = fleet.send(3, key);
        fleet.run_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_in_progress may_have_run"), fleet.answer_to(again));
    }

    void a_resend_after_the_claimant_restarted_is_refused_as_may_have_run()
    {
        claims_fleet fleet(1, 6, {.max_run_time = seconds(100)});
        auto const key = fleet.make_key();
        fleet.send(0, key);
        fleet.run_for(milliseconds(100));
        fleet.restart(0, seconds(1));
        fleet.run_for(seconds(3));
        auto const again = fleet.send(3, key);
        fleet.run_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_may_have_run may_have_run"),
                             fleet.answer_to(again));
    }

    void a_key_with_other_content_is_refused()
    {
        auto const key = fleet_.make_key();
        send_and_wait(0, key);
        CPPUNIT_ASSERT_EQUAL(std::string("claim_other_content not_run"),
                             send_and_wait(1, key, "other"));
    }

    void a_key_that_is_not_a_version_7_uuid_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_invalid not_run"),
                             send_and_wait(0, "bib-17"));
    }

    void a_key_older_than_the_window_is_refused()
    {
        auto const key = fleet_.make_key();
        send_and_wait(0, key);
        fleet_.run_for(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_expired may_have_run"),
                             send_and_wait(1, key));
    }

    void a_key_with_a_future_creation_time_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_ahead not_run"),
                             send_and_wait(0, fleet_.make_key(seconds(1))));
    }

    void a_request_does_not_run_without_a_majority_of_keepers()
    {
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        fleet_.restart(keepers[0], seconds(100));
        fleet_.restart(keepers[1], seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_unavailable not_run"),
                             send_and_wait(instance_outside(keepers), key));
        CPPUNIT_ASSERT_EQUAL(0, fleet_.runs(key));
    }

    void a_request_runs_with_one_unreachable_keeper()
    {
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        fleet_.restart(keepers[0], seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             send_and_wait(instance_outside(keepers), key));
    }

    void an_isolated_instance_refuses_keyed_requests()
    {
        fleet_.isolate(0, seconds(10));
        fleet_.run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("no_lease not_run"), send_and_wait(0, fleet_.make_key()));
    }

    void a_released_claim_can_be_claimed_again()
    {
        claims_fleet fleet(3, 6, {.attempt_failure = 1.0});
        auto const key = fleet.make_key();
        std::string answer;
        for (int n = 0; n != 50 && !answer.ends_with(" not_run"); ++n)
        {
            auto const fresh = fleet.make_key();
            auto const id = fleet.send(0, fresh);
            fleet.run_for(seconds(1));
            answer = fleet.answer_to(id);
            if (!answer.ends_with(" not_run"))
                continue;
            auto const again = fleet.send(1, fresh);
            fleet.run_for(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"),
                                 fleet.answer_to(again).substr(0, 14));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed not_run"), answer);
    }

    void the_reply_survives_restarts_of_all_keepers_in_turn()
    {
        fleet_.run_for(seconds(10));
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        send_and_wait(instance_outside(keepers), key);
        for (auto const it : keepers)
        {
            fleet_.restart(it, milliseconds(200));
            fleet_.run_for(seconds(3));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             send_and_wait(instance_outside(keepers), key));
        CPPUNIT_ASSERT_EQUAL(1, fleet_.runs(key));
    }

    void after_two_keepers_restart_at_once_older_keys_are_refused_and_new_keys_accepted()
    {
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        fleet_.restart(keepers[0], milliseconds(200));
        fleet_.restart(keepers[1], milliseconds(200));
        fleet_.run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_unsettled may_have_run"),
                             send_and_wait(instance_outside(keepers), key));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             send_and_wait(instance_outside(keepers), fleet_.make_key()));
    }

    void after_a_keeper_change_older_keys_do_not_run_again_and_new_keys_are_accepted()
    {
        fleet_.run_for(seconds(5));
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        send_and_wait(instance_outside(keepers), key);
        fleet_.set_member(keepers[0], false);
        fleet_.set_member(keepers[1], false);
        fleet_.run_for(seconds(3));
        send_and_wait(instance_outside(keepers), key);
        CPPUNIT_ASSERT_EQUAL(1, fleet_.runs(key));
        auto const fresh = fleet_.make_key();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             send_and_wait(instance_outside(keepers), fresh));
    }

    void a_reply_over_the_size_limit_is_dropped_and_its_claim_recorded_as_run()
    {
        claims_settings const limits{.reply_limit = byte_count(2)};
        claim_store store(limits);
        auto const large = std::make_shared<reply const>(reply{.status = 200, .body = "abc"});
        store.put(messages::claim_id(sha256("k")),
                  {.state = messages::claim_state::finished, .content = large});
        auto const& kept = *store.find(messages::claim_id(sha256("k")));
        CPPUNIT_ASSERT(kept.state == messages::claim_state::reply_dropped);
        CPPUNIT_ASSERT(kept.content == nullptr);
    }

private:
    std::string send_and_wait(std::size_t index, std::string const& key,
                              std::string const& body = "x")
    {
        auto const id = fleet_.send(index, key, body);
        fleet_.run_for(seconds(2));
        return fleet_.answer_to(id);
    }

    static std::size_t instance_outside(std::vector<std::size_t> const& keepers)
    {
        for (std::size_t n = 0;; ++n)
            if (std::find(keepers.begin(), keepers.end(), n) == keepers.end())
                return n;
    }

    claims_fleet fleet_{1, 6, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_test);

} // namespace

} // namespace mulberryrudder::entry
