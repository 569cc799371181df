#include "tests/entry/routing_support/rig.hpp"

#include <mulberryrudder/messages/spill.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class regions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(regions_test);
    CPPUNIT_TEST(a_request_without_a_local_target_is_sent_within_the_grant);
    CPPUNIT_TEST(nothing_is_sent_without_a_grant);
    CPPUNIT_TEST(nothing_is_sent_without_a_live_lease);
    CPPUNIT_TEST(a_reply_from_elsewhere_answers_the_caller);
    CPPUNIT_TEST(a_request_that_did_not_run_elsewhere_may_run_here);
    CPPUNIT_TEST(a_domain_without_room_is_left_alone_and_the_next_one_tried);
    CPPUNIT_TEST(a_waiting_request_is_sent_once_a_grant_is_free);
    CPPUNIT_TEST(without_a_reply_the_request_may_have_run);
    CPPUNIT_TEST(a_grant_is_held_until_the_request_cannot_run_any_more);
    CPPUNIT_TEST(a_reply_of_the_wrong_instance_is_ignored);
    CPPUNIT_TEST(a_link_cap_keeps_requests_here);
    CPPUNIT_TEST(a_taken_request_runs_and_its_reply_goes_back);
    CPPUNIT_TEST(a_request_is_not_taken_without_a_free_slot);
    CPPUNIT_TEST(a_taken_request_is_checked_again_before_it_runs);
    CPPUNIT_TEST(a_taken_request_does_not_travel_on);
    CPPUNIT_TEST(a_cancelled_request_ends_and_frees_its_slot);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { lease(2); }

    void a_request_without_a_local_target_is_sent_within_the_grant()
    {
        for (int n = 0; n != 3; ++n)
            it_.ask(seconds(10), "c");
        auto const sent = it_.take_messages<messages::spill_request>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{21}, sent[0].first.value());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), sent[0].second.customer.value());
        CPPUNIT_ASSERT(sent[0].second.remaining == seconds(10));
    }

    void nothing_is_sent_without_a_grant()
    {
        lease(0);
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, spilled());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("spill.no_headroom"));
    }

    void nothing_is_sent_without_a_live_lease()
    {
        it_.lose_control();
        it_.pass(seconds(5));
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, spilled());
    }

    void a_reply_from_elsewhere_answers_the_caller()
    {
        auto const id = it_.ask();
        answer_from(21, {.id = id,
                         .content = std::make_shared<reply const>(reply{.status = 201}),
                         .run = verdict::ran});
        auto const answer = it_.take<answer_caller>().at(0);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{201}, std::get<answered>(answer.what).content->status);
    }

    void a_request_that_did_not_run_elsewhere_may_run_here()
    {
        auto const id = it_.ask();
        it_.tell(target_at("t1", "m1", 5));
        answer_from(21, {.id = id});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
    }

    void a_domain_without_room_is_left_alone_and_the_next_one_tried()
    {
        it_.lease({member_of(instance_at(1, "marmara", "m1")),
                   member_of(instance_at(2, "marmara", "m2")),
                   member_of(instance_at(21, "ege", "e1"))},
                  config_with(),
                  {{.to = domain_id("m2"), .running = slots(9)},
                   {.to = domain_id("e1"), .running = slots(9)}});
        auto const id = it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, next_receiver());
        answer_from(2, {.id = id});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{21}, next_receiver());
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{21}, next_receiver());
        it_.pass(milliseconds(250));
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, next_receiver());
    }

    void a_waiting_request_is_sent_once_a_grant_is_free()
    {
        it_.tell(target_at("t1", "m1", 5));
        auto starting = target_at("t1", "m1", 5);
        starting.state = target_state::starting;
        it_.tell(starting);
        auto const first = it_.ask();
        it_.ask();
        auto const third = it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spilled());
        answer_from(21, {.id = first,
                         .content = std::make_shared<reply const>(reply{.status = 200}),
                         .run = verdict::ran});
        auto const sent = it_.take_messages<messages::spill_request>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT_EQUAL(third.value(), sent[0].second.id.value());
    }

    void without_a_reply_the_request_may_have_run()
    {
        it_.ask(seconds(1));
        it_.pass(seconds(2));
        auto const answer = it_.take<answer_caller>().at(0);
        CPPUNIT_ASSERT(std::get<refused>(answer.what).run == verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take_messages<messages::spill_cancel>().size());
    }

    void a_grant_is_held_until_the_request_cannot_run_any_more()
    {
        it_.ask(seconds(1));
        it_.ask(seconds(1));
        it_.pass(milliseconds(1500));
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spilled());
        it_.pass(milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, spilled());
        it_.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, spilled());
    }

    void a_reply_of_the_wrong_instance_is_ignored()
    {
        auto const id = it_.ask();
        answer_from(22, {.id = id});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it_.counter("spill.late_replies"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<answer_caller>().size());
    }

    void a_link_cap_keeps_requests_here()
    {
        auto config = *config_with();
        config.link_caps[{region_id("marmara"), region_id("ege")}] = bytes_per_second(16000);
        lease(10, std::make_shared<fleet_config const>(config));
        for (int n = 0; n != 5; ++n)
            it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, spilled());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it_.counter("spill.no_link"));
    }

    void a_taken_request_runs_and_its_reply_goes_back()
    {
        announce(5);
        take_in(7);
        auto const sent = it_.take<send_attempt>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        it_.reply_to(sent[0].id);
        auto const back = it_.take_messages<messages::spill_reply>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, back.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{21}, back[0].first.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, back[0].second.id.value());
        CPPUNIT_ASSERT(back[0].second.run == verdict::ran && back[0].second.content);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<answer_caller>().size());
    }

    void a_request_is_not_taken_without_a_free_slot()
    {
        announce(1);
        take_in(7);
        take_in(8);
        auto const back = it_.take_messages<messages::spill_reply>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, back.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, back[0].second.id.value());
        CPPUNIT_ASSERT(back[0].second.run == verdict::not_run);
    }

    void a_taken_request_is_checked_again_before_it_runs()
    {
        announce(5);
        it_.lose_control();
        it_.pass(milliseconds(4100));
        announce(5);
        take_in(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<send_attempt>().size());
        CPPUNIT_ASSERT(it_.take_messages<messages::spill_reply>().at(0).second.run ==
                       verdict::not_run);
    }

    void a_taken_request_does_not_travel_on()
    {
        announce(1);
        it_.ask();
        take_in(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, spilled());
    }

    void a_cancelled_request_ends_and_frees_its_slot()
    {
        announce(1);
        take_in(7);
        it_.take<send_attempt>();
        it_.deliver(instance_id(21), any_message::of(messages::spill_cancel{request_id(7)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<cancel_attempt>().size());
        CPPUNIT_ASSERT(it_.take_messages<messages::spill_reply>().at(0).second.run ==
                       verdict::may_have_run);
        take_in(8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
    }

private:
    void lease(std::int64_t headroom, std::shared_ptr<fleet_config const> config = config_with())
    {
        std::vector<messages::headroom_grant> grants;
        if (headroom != 0)
            grants.push_back({.to = domain_id("e1"), .running = slots(headroom)});
        it_.lease(
            {member_of(instance_at(1, "marmara", "m1")), member_of(instance_at(21, "ege", "e1"))},
            std::move(config), grants);
        it_.pass(seconds(4));
    }

    void announce(std::int64_t capacity) { it_.tell(target_at("t1", "m1", capacity)); }

    std::size_t spilled() { return it_.take_messages<messages::spill_request>().size(); }

    std::uint32_t next_receiver()
    {
        return it_.take_messages<messages::spill_request>().at(0).first.value();
    }

    void answer_from(std::uint32_t who, messages::spill_reply what)
    {
        it_.deliver(instance_id(who), any_message::of(std::move(what)));
    }

    void take_in(std::uint64_t id)
    {
        it_.deliver(instance_id(21), any_message::of(messages::spill_request{
                                         .id = request_id(id),
                                         .customer = customer_id("c"),
                                         .route = route_id("r"),
                                         .repeatable = true,
                                         .remaining = seconds(5),
                                         .content = std::make_shared<call const>()}));
    }

    rig it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(regions_test);

} // namespace

} // namespace mulberryrudder::entry
