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
    CPPUNIT_TEST(a_first_request_runs_and_a_resend_elsewhere_gets_its_reply);
    CPPUNIT_TEST(a_resend_while_the_first_runs_is_told_so);
    CPPUNIT_TEST(a_resend_after_the_claimant_died_is_told_that_it_may_have_run);
    CPPUNIT_TEST(a_key_with_other_content_is_refused);
    CPPUNIT_TEST(a_key_that_is_no_uuid_of_version_7_is_refused);
    CPPUNIT_TEST(a_key_older_than_the_window_is_refused);
    CPPUNIT_TEST(a_key_of_the_future_is_refused);
    CPPUNIT_TEST(without_a_majority_of_keepers_nothing_runs);
    CPPUNIT_TEST(one_dead_keeper_is_no_harm);
    CPPUNIT_TEST(a_cut_off_entry_cannot_claim);
    CPPUNIT_TEST(a_released_claim_can_be_claimed_again);
    CPPUNIT_TEST(a_second_loss_right_after_a_repair_keeps_the_reply);
    CPPUNIT_TEST(two_keepers_lost_at_once_refuse_older_keys_and_serve_new_ones);
    CPPUNIT_TEST(a_moved_keeper_set_refuses_older_keys_and_serves_new_ones);
    CPPUNIT_TEST(a_reply_beyond_the_limit_is_not_kept_but_known_to_have_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_first_request_runs_and_a_resend_elsewhere_gets_its_reply()
    {
        auto const key = fleet_.make_key();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), told(0, key));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), told(5, key));
        CPPUNIT_ASSERT_EQUAL(1, fleet_.runs(key));
    }

    void a_resend_while_the_first_runs_is_told_so()
    {
        claims_fleet fleet(1, 6, {.most_run = seconds(100)});
        auto const key = fleet.make_key();
        fleet.send(0, key, "x", seconds(20));
        fleet.run_for(milliseconds(500));
        auto const again = fleet.send(3, key);
        fleet.run_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_in_progress may_have_run"), fleet.answer_to(again));
    }

    void a_resend_after_the_claimant_died_is_told_that_it_may_have_run()
    {
        claims_fleet fleet(1, 6, {.most_run = seconds(100)});
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
        told(0, key);
        CPPUNIT_ASSERT_EQUAL(std::string("claim_other_content not_run"), told(1, key, "other"));
    }

    void a_key_that_is_no_uuid_of_version_7_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_invalid not_run"), told(0, "bib-17"));
    }

    void a_key_older_than_the_window_is_refused()
    {
        auto const key = fleet_.make_key();
        told(0, key);
        fleet_.run_for(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_expired may_have_run"), told(1, key));
    }

    void a_key_of_the_future_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_ahead not_run"),
                             told(0, fleet_.make_key(seconds(1))));
    }

    void without_a_majority_of_keepers_nothing_runs()
    {
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        fleet_.restart(keepers[0], seconds(100));
        fleet_.restart(keepers[1], seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_unavailable not_run"),
                             told(other_than(keepers), key));
        CPPUNIT_ASSERT_EQUAL(0, fleet_.runs(key));
    }

    void one_dead_keeper_is_no_harm()
    {
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        fleet_.restart(keepers[0], seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), told(other_than(keepers), key));
    }

    void a_cut_off_entry_cannot_claim()
    {
        fleet_.cut(0, seconds(10));
        fleet_.run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("no_lease not_run"), told(0, fleet_.make_key()));
    }

    void a_released_claim_can_be_claimed_again()
    {
        claims_fleet fleet(3, 6, {.attempt_fails = 1.0});
        auto const key = fleet.make_key();
        std::string told;
        for (int n = 0; n != 50 && !told.ends_with(" not_run"); ++n)
        {
            auto const fresh = fleet.make_key();
            auto const id = fleet.send(0, fresh);
            fleet.run_for(seconds(1));
            told = fleet.answer_to(id);
            if (!told.ends_with(" not_run"))
                continue;
            auto const again = fleet.send(1, fresh);
            fleet.run_for(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"),
                                 fleet.answer_to(again).substr(0, 14));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed not_run"), told);
    }

    void a_second_loss_right_after_a_repair_keeps_the_reply()
    {
        fleet_.run_for(seconds(10));
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        told(other_than(keepers), key);
        for (auto const it : keepers)
        {
            fleet_.restart(it, milliseconds(200));
            fleet_.run_for(seconds(3));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), told(other_than(keepers), key));
        CPPUNIT_ASSERT_EQUAL(1, fleet_.runs(key));
    }

    void two_keepers_lost_at_once_refuse_older_keys_and_serve_new_ones()
    {
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        fleet_.restart(keepers[0], milliseconds(200));
        fleet_.restart(keepers[1], milliseconds(200));
        fleet_.run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("claim_unsettled may_have_run"),
                             told(other_than(keepers), key));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), told(other_than(keepers), fleet_.make_key()));
    }

    void a_moved_keeper_set_refuses_older_keys_and_serves_new_ones()
    {
        fleet_.run_for(seconds(5));
        auto const key = fleet_.make_key();
        auto const keepers = fleet_.keepers_of_key(key);
        told(other_than(keepers), key);
        fleet_.set_member(keepers[0], false);
        fleet_.set_member(keepers[1], false);
        fleet_.run_for(seconds(3));
        told(other_than(keepers), key);
        CPPUNIT_ASSERT_EQUAL(1, fleet_.runs(key));
        auto const fresh = fleet_.make_key();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), told(other_than(keepers), fresh));
    }

    void a_reply_beyond_the_limit_is_not_kept_but_known_to_have_run()
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
    std::string told(std::size_t to, std::string const& key, std::string const& body = "x")
    {
        auto const id = fleet_.send(to, key, body);
        fleet_.run_for(seconds(2));
        return fleet_.answer_to(id);
    }

    static std::size_t other_than(std::vector<std::size_t> const& keepers)
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
