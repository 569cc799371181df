#include "plugins/entry/claims/claim_keeper.hpp"
#include "plugins/entry/claims/claimant.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using messages::claim_answer_kind;
using messages::claim_state;

instance_id const self(1);
std::vector<instance_id> const everyone{instance_id(1), instance_id(2), instance_id(3)};

keeper_view three_places()
{
    keeper_view out;
    for (auto const& id : everyone)
    {
        auto const name = std::to_string(id.value());
        out.places.push_back({id, region_id("r" + name), domain_id("d" + name)});
    }
    return out;
}

messages::claim_record record_of_holder(std::uint64_t holder, claim_state state)
{
    return {.id = messages::claim_id(sha256("key")),
            .holder = {instance_id(9), boot_id(1), request_id(holder)},
            .state = state,
            .run_within = seconds(100),
            .expires_in = seconds(600)};
}

class claim_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_keeper_test);
    CPPUNIT_TEST(a_key_made_before_the_keeper_watched_is_unsettled);
    CPPUNIT_TEST(a_key_made_after_the_settling_time_is_granted);
    CPPUNIT_TEST(records_of_both_other_keepers_settle_an_older_key);
    CPPUNIT_TEST(a_peer_that_sees_other_members_settles_nothing);
    CPPUNIT_TEST(records_are_pulled_only_after_earlier_grants_have_lapsed);
    CPPUNIT_TEST(a_gap_in_the_membership_unsettles_older_keys);
    CPPUNIT_TEST(a_changed_keeper_set_unsettles_older_keys);
    CPPUNIT_TEST(two_holders_from_two_peers_block_the_key_for_both);
    CPPUNIT_TEST(a_late_copy_does_not_revive_a_released_claim);
    CPPUNIT_TEST(an_overdue_holder_may_have_run);
    CPPUNIT_TEST(a_grant_that_comes_too_late_does_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { watch_until(start_); }

    void a_key_made_before_the_keeper_watched_is_unsettled()
    {
        watch_until(start_ + seconds(20));
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == asked(1, seconds(20)));
        CPPUNIT_ASSERT(claim_answer_kind::unsettled ==
                       asked(1, seconds(20) - config_.settling() + milliseconds(1)));
    }

    void a_key_made_after_the_settling_time_is_granted()
    {
        watch_until(start_ + seconds(20));
        CPPUNIT_ASSERT(claim_answer_kind::granted == asked(1, seconds(20) - config_.settling()));
    }

    void records_of_both_other_keepers_settle_an_older_key()
    {
        watch_until(start_ + seconds(20));
        pull(2, seconds(100), {});
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == asked(1, seconds(50)));
        pull(3, seconds(70), {});
        CPPUNIT_ASSERT(claim_answer_kind::granted == asked(1, seconds(50)));
    }

    void a_peer_that_sees_other_members_settles_nothing()
    {
        auto other = three_places();
        other.places.push_back({instance_id(4), region_id("r4"), domain_id("d4")});
        watch_until(start_ + seconds(20));
        pull(2, seconds(100), {});
        pull(3, seconds(100), {}, other);
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == asked(1, seconds(50)));
    }

    void records_are_pulled_only_after_earlier_grants_have_lapsed()
    {
        CPPUNIT_ASSERT(keeper_.due_pulls(start_ + config_.timeout).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             keeper_.due_pulls(start_ + 2 * config_.timeout).size());
    }

    void a_gap_in_the_membership_unsettles_older_keys()
    {
        watch_until(start_ + seconds(60));
        now_ += config_.view_bound + milliseconds(1);
        keeper_.follow(three_places(), now_);
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == asked(1, seconds(10)));
    }

    void a_changed_keeper_set_unsettles_older_keys()
    {
        watch_until(start_ + seconds(60));
        auto other = three_places();
        other.places.back().id = instance_id(4);
        keeper_.follow(other, now_);
        now_ += seconds(4);
        keeper_.follow(three_places(), now_);
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == asked(1, seconds(10)));
    }

    void two_holders_from_two_peers_block_the_key_for_both()
    {
        pull(2, seconds(100), {record_of_holder(5, claim_state::in_progress)});
        pull(3, seconds(100), {record_of_holder(6, claim_state::in_progress)});
        for (std::uint64_t holder = 5; holder <= 6; ++holder)
            keeper_.end({record_of_holder(holder, claim_state::released)}, now_);
        auto const it = keeper_.ask(request(7, seconds(20)), now_);
        CPPUNIT_ASSERT(claim_answer_kind::held == it->kind);
        CPPUNIT_ASSERT(claim_state::may_have_run == it->known);
    }

    void a_late_copy_does_not_revive_a_released_claim()
    {
        watch_until(start_ + seconds(20));
        CPPUNIT_ASSERT(claim_answer_kind::granted == asked(1, seconds(1)));
        keeper_.end({record_of_holder(1, claim_state::released)}, now_);
        CPPUNIT_ASSERT(!keeper_.ask(request(1, seconds(1)), now_));
        CPPUNIT_ASSERT(claim_answer_kind::granted == asked(2, seconds(1)));
    }

    void an_overdue_holder_may_have_run()
    {
        watch_until(start_ + seconds(20));
        asked(1, seconds(1));
        watch_until(start_ + seconds(121));
        auto const it = keeper_.ask(request(2, seconds(102)), now_);
        CPPUNIT_ASSERT(claim_state::may_have_run == it->known);
    }

    void a_grant_that_comes_too_late_does_not_count()
    {
        asked_claim it(request(1, seconds(1)), now_ + milliseconds(500));
        messages::claim_answer const grant{.kind = claim_answer_kind::granted};
        it.take(instance_id(1), grant, now_);
        it.take(instance_id(2), grant, now_ + milliseconds(500));
        CPPUNIT_ASSERT(claim_progress::denied == it.progress());
    }

private:
    void watch_until(instant when)
    {
        for (; now_ <= when; now_ += seconds(1))
            keeper_.follow(three_places(), now_);
        now_ = when;
    }

    static messages::claim_request request(std::uint64_t holder, span key_age)
    {
        return {.wanted = record_of_holder(holder, claim_state::in_progress),
                .keepers = everyone,
                .key_age = key_age};
    }

    claim_answer_kind asked(std::uint64_t holder, span key_age)
    {
        return keeper_.ask(request(holder, key_age), now_)->kind;
    }

    void pull(std::uint32_t from, span settled, std::vector<messages::claim_record> records,
              keeper_view const& seen = three_places())
    {
        keeper_.merge({.boot = boot_id(1),
                       .records = std::move(records),
                       .view = digest_of(seen),
                       .settled_for = settled},
                      instance_id(from), now_);
    }

    claims_settings config_;
    instant const start_{seconds(1000)};
    instant now_ = start_;
    claim_keeper keeper_{self, boot_id(1), config_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_keeper_test);

} // namespace

} // namespace mulberryrudder::entry
