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
std::vector<instance_id> const all_keepers{instance_id(1), instance_id(2), instance_id(3)};

keeper_view three_members()
{
    keeper_view out;
    for (auto const& id : all_keepers)
    {
        auto const name = std::to_string(id.value());
        out.members.push_back({id, region_id("r" + name), domain_id("d" + name)});
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
    CPPUNIT_TEST(a_key_created_before_the_keeper_observed_the_membership_is_unsettled);
    CPPUNIT_TEST(a_key_created_after_the_settling_time_is_granted);
    CPPUNIT_TEST(an_older_key_is_granted_once_both_other_keepers_records_are_pulled);
    CPPUNIT_TEST(records_of_a_peer_with_another_view_do_not_settle_older_keys);
    CPPUNIT_TEST(records_are_pulled_only_after_grants_of_the_last_start_have_lapsed);
    CPPUNIT_TEST(older_keys_are_unsettled_after_a_gap_in_the_membership);
    CPPUNIT_TEST(older_keys_are_unsettled_after_a_keeper_change);
    CPPUNIT_TEST(two_holders_from_two_peers_block_the_key_for_both);
    CPPUNIT_TEST(a_late_copy_of_a_request_does_not_reactivate_a_released_claim);
    CPPUNIT_TEST(a_claim_past_its_run_deadline_may_have_run);
    CPPUNIT_TEST(a_grant_after_the_claim_deadline_does_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { update_view_until(start_); }

    void a_key_created_before_the_keeper_observed_the_membership_is_unsettled()
    {
        update_view_until(start_ + seconds(20));
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == answer_kind(1, seconds(20)));
        CPPUNIT_ASSERT(claim_answer_kind::unsettled ==
                       answer_kind(1, seconds(20) - config_.settling_time() + milliseconds(1)));
    }

    void a_key_created_after_the_settling_time_is_granted()
    {
        update_view_until(start_ + seconds(20));
        CPPUNIT_ASSERT(claim_answer_kind::granted ==
                       answer_kind(1, seconds(20) - config_.settling_time()));
    }

    void an_older_key_is_granted_once_both_other_keepers_records_are_pulled()
    {
        update_view_until(start_ + seconds(20));
        merge_page(2, seconds(100), {});
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == answer_kind(1, seconds(50)));
        merge_page(3, seconds(70), {});
        CPPUNIT_ASSERT(claim_answer_kind::granted == answer_kind(1, seconds(50)));
    }

    void records_of_a_peer_with_another_view_do_not_settle_older_keys()
    {
        auto other = three_members();
        other.members.push_back({instance_id(4), region_id("r4"), domain_id("d4")});
        update_view_until(start_ + seconds(20));
        merge_page(2, seconds(100), {});
        merge_page(3, seconds(100), {}, other);
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == answer_kind(1, seconds(50)));
    }

    void records_are_pulled_only_after_grants_of_the_last_start_have_lapsed()
    {
        CPPUNIT_ASSERT(keeper_.due_pulls(start_ + config_.timeout).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             keeper_.due_pulls(start_ + 2 * config_.timeout).size());
    }

    void older_keys_are_unsettled_after_a_gap_in_the_membership()
    {
        update_view_until(start_ + seconds(60));
        now_ += config_.view_bound + milliseconds(1);
        keeper_.update_view(three_members(), now_);
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == answer_kind(1, seconds(10)));
    }

    void older_keys_are_unsettled_after_a_keeper_change()
    {
        update_view_until(start_ + seconds(60));
        auto other = three_members();
        other.members.back().id = instance_id(4);
        keeper_.update_view(other, now_);
        now_ += seconds(4);
        keeper_.update_view(three_members(), now_);
        CPPUNIT_ASSERT(claim_answer_kind::unsettled == answer_kind(1, seconds(10)));
    }

    void two_holders_from_two_peers_block_the_key_for_both()
    {
        merge_page(2, seconds(100), {record_of_holder(5, claim_state::in_progress)});
        merge_page(3, seconds(100), {record_of_holder(6, claim_state::in_progress)});
        for (std::uint64_t holder = 5; holder <= 6; ++holder)
            keeper_.handle_end({record_of_holder(holder, claim_state::released)}, now_);
        auto const answer = keeper_.handle_request(request(7, seconds(20)), now_);
        CPPUNIT_ASSERT(claim_answer_kind::held == answer->kind);
        CPPUNIT_ASSERT(claim_state::may_have_run == answer->known);
    }

    void a_late_copy_of_a_request_does_not_reactivate_a_released_claim()
    {
        update_view_until(start_ + seconds(20));
        CPPUNIT_ASSERT(claim_answer_kind::granted == answer_kind(1, seconds(1)));
        keeper_.handle_end({record_of_holder(1, claim_state::released)}, now_);
        CPPUNIT_ASSERT(!keeper_.handle_request(request(1, seconds(1)), now_));
        CPPUNIT_ASSERT(claim_answer_kind::granted == answer_kind(2, seconds(1)));
    }

    void a_claim_past_its_run_deadline_may_have_run()
    {
        update_view_until(start_ + seconds(20));
        answer_kind(1, seconds(1));
        update_view_until(start_ + seconds(121));
        auto const answer = keeper_.handle_request(request(2, seconds(102)), now_);
        CPPUNIT_ASSERT(claim_state::may_have_run == answer->known);
    }

    void a_grant_after_the_claim_deadline_does_not_count()
    {
        requested_claim claim(request(1, seconds(1)), now_ + milliseconds(500));
        messages::claim_answer const grant{.kind = claim_answer_kind::granted};
        claim.add_answer(instance_id(1), grant, now_);
        claim.add_answer(instance_id(2), grant, now_ + milliseconds(500));
        CPPUNIT_ASSERT(claim_progress::denied == claim.progress());
    }

private:
    void update_view_until(instant time)
    {
        for (; now_ <= time; now_ += seconds(1))
            keeper_.update_view(three_members(), now_);
        now_ = time;
    }

    static messages::claim_request request(std::uint64_t holder, span key_age)
    {
        return {.wanted = record_of_holder(holder, claim_state::in_progress),
                .keepers = all_keepers,
                .key_age = key_age};
    }

    claim_answer_kind answer_kind(std::uint64_t holder, span key_age)
    {
        return keeper_.handle_request(request(holder, key_age), now_)->kind;
    }

    void merge_page(std::uint32_t peer, span settled, std::vector<messages::claim_record> records,
                    keeper_view const& view = three_members())
    {
        keeper_.merge({.boot = boot_id(1),
                       .records = std::move(records),
                       .view = digest_of(view),
                       .settled_for = settled},
                      instance_id(peer), now_);
    }

    claims_settings config_;
    instant const start_{seconds(1000)};
    instant now_ = start_;
    claim_keeper keeper_{self, boot_id(1), config_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_keeper_test);

} // namespace

} // namespace mulberryrudder::entry
