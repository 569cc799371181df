#include "tests/entry/routing_support/rig.hpp"

#include <mulberryrudder/messages/targets.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class target_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_registry_test);
    CPPUNIT_TEST(a_target_gets_requests_after_its_announcement);
    CPPUNIT_TEST(a_starting_target_gets_no_requests);
    CPPUNIT_TEST(a_target_without_announcements_gets_no_requests_within_two_seconds);
    CPPUNIT_TEST(a_leaving_target_gets_no_new_requests_at_once);
    CPPUNIT_TEST(a_late_serving_announcement_does_not_reactivate_a_leaving_target);
    CPPUNIT_TEST(a_leaving_announcement_is_relayed_at_once);
    CPPUNIT_TEST(a_relayed_announcement_counts_like_a_direct_one);
    CPPUNIT_TEST(a_refused_connection_overrides_a_serving_announcement);
    CPPUNIT_TEST(a_healthy_probe_reactivates_a_failing_target);
    CPPUNIT_TEST(the_interval_of_probes_to_a_failed_target_grows);
    CPPUNIT_TEST(a_shed_reply_pauses_and_halves_the_window);
    CPPUNIT_TEST(a_new_target_gets_its_slots_over_a_ramp);
    CPPUNIT_TEST(slots_are_divided_between_the_live_entries_of_the_domain);
    CPPUNIT_TEST(targets_of_another_domain_are_used_only_when_adopted);
    CPPUNIT_TEST(an_instance_without_a_lease_defers_to_a_leased_sibling);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_target_gets_requests_after_its_announcement()
    {
        announce("t1", 5);
        rig_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig_.take<send_attempt>().size());
    }

    void a_starting_target_gets_no_requests()
    {
        auto announced = target_at("t1", "m1", 5);
        announced.state = target_state::starting;
        rig_.settle();
        rig_.tell(announced);
        rig_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig_.take<send_attempt>().size());
    }

    void a_target_without_announcements_gets_no_requests_within_two_seconds()
    {
        announce("t1", 5);
        rig_.pass(milliseconds(1400));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, rig_.limit_of("t1"));
        rig_.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
    }

    void a_leaving_target_gets_no_new_requests_at_once()
    {
        announce("t1", 5);
        announce("t1", 5, target_state::leaving);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
    }

    void a_late_serving_announcement_does_not_reactivate_a_leaving_target()
    {
        announce("t1", 5);
        announce("t1", 5, target_state::leaving);
        announce("t1", 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
    }

    void a_leaving_announcement_is_relayed_at_once()
    {
        rig_.lease({self_, sibling_});
        rig_.tell(target_at("t1", "m1", 5));
        rig_.out().clear();
        auto announced = target_at("t1", "m1", 5);
        announced.state = target_state::leaving;
        rig_.tell(announced);
        auto const sent = rig_.take_messages<messages::target_relay>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, sent[0].first.value());
        CPPUNIT_ASSERT(sent[0].second.heard.at(0).state == target_state::leaving);
    }

    void a_relayed_announcement_counts_like_a_direct_one()
    {
        rig_.settle();
        rig_.deliver(instance_id(2), any_message::of(messages::target_relay{
                                         .leased = true, .heard = {target_at("t1", "m1", 5)}}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, rig_.limit_of("t1"));
    }

    void a_refused_connection_overrides_a_serving_announcement()
    {
        announce("t1", 5);
        rig_.ask();
        rig_.fail(rig_.take<send_attempt>().at(0).id, attempt_failure::connect_refused,
                  verdict::not_run);
        announce("t1", 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
    }

    void a_healthy_probe_reactivates_a_failing_target()
    {
        a_refused_connection_overrides_a_serving_announcement();
        rig_.pass(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig_.take<probe_target>().size());
        rig_.tell(probe_ended{.id = target_id("t1"), .healthy = true});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, rig_.limit_of("t1"));
    }

    void the_interval_of_probes_to_a_failed_target_grows()
    {
        a_refused_connection_overrides_a_serving_announcement();
        for (int n = 0; n != 600; ++n)
        {
            rig_.pass(milliseconds(100));
            rig_.tell(target_at("t1", "m1", 5));
            for (auto const& probe : rig_.take<probe_target>())
                rig_.tell(probe_ended{.id = probe.id, .healthy = false});
        }
        auto const sent = rig_.counter("targets.probes");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 5 && sent <= 12);
    }

    void a_shed_reply_pauses_and_halves_the_window()
    {
        announce("t1", 8);
        for (int n = 0; n != 4; ++n)
            rig_.ask();
        rig_.fail(rig_.take<send_attempt>().at(0).id, attempt_failure::shed, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
        rig_.pass(milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, rig_.limit_of("t1"));
    }

    void a_new_target_gets_its_slots_over_a_ramp()
    {
        announce("old", 8);
        rig_.pass(seconds(3));
        rig_.tell(target_at("new", "m1", 8));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, rig_.limit_of("new"));
        for (int n = 0; n != 5; ++n)
        {
            rig_.pass(seconds(1));
            rig_.tell(target_at("new", "m1", 8));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, rig_.limit_of("new"));
        for (int n = 0; n != 5; ++n)
        {
            rig_.pass(seconds(1));
            rig_.tell(target_at("new", "m1", 8));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, rig_.limit_of("new"));
    }

    void slots_are_divided_between_the_live_entries_of_the_domain()
    {
        announce("t1", 8);
        rig_.lease({self_, sibling_});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, rig_.limit_of("t1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, rig_.target("t1")->most_connections.count());
    }

    void targets_of_another_domain_are_used_only_when_adopted()
    {
        rig_.settle();
        rig_.tell(target_at("t1", "m2", 5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
        rig_.lease({self_}, config_with(), {}, {domain_id("m2")});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, rig_.limit_of("t1"));
    }

    void an_instance_without_a_lease_defers_to_a_leased_sibling()
    {
        rig_.lease({self_, sibling_});
        rig_.pass(seconds(4));
        rig_.lose_control();
        rig_.pass(seconds(4));
        rig_.tell(target_at("t1", "m1", 4));
        rig_.pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, rig_.limit_of("t1"));
        rig_.deliver(instance_id(2), any_message::of(messages::target_relay{.leased = true}));
        rig_.pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, rig_.limit_of("t1"));
    }

private:
    void announce(std::string const& id, std::int64_t capacity,
                  target_state state = target_state::serving)
    {
        if (rig_.counter("targets.announcements") == 0)
            rig_.settle();
        auto announced = target_at(id, "m1", capacity);
        announced.state = state;
        rig_.tell(announced);
    }

    messages::member self_ = member_of(instance_at(1, "marmara", "m1"));
    messages::member sibling_ = member_of(instance_at(2, "marmara", "m1"));
    rig rig_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_registry_test);

} // namespace

} // namespace mulberryrudder::entry
