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
    CPPUNIT_TEST(a_target_gets_work_after_its_announcement);
    CPPUNIT_TEST(a_starting_target_gets_no_work);
    CPPUNIT_TEST(a_silent_target_gets_no_work_within_two_seconds);
    CPPUNIT_TEST(a_leaving_target_gets_no_new_work_at_once);
    CPPUNIT_TEST(a_late_serving_announcement_does_not_bring_a_leaving_target_back);
    CPPUNIT_TEST(a_leaving_announcement_is_passed_on_at_once);
    CPPUNIT_TEST(a_relayed_announcement_counts_like_a_heard_one);
    CPPUNIT_TEST(a_refused_connection_suspects_the_target_against_its_word);
    CPPUNIT_TEST(a_healthy_probe_brings_a_failing_target_back);
    CPPUNIT_TEST(few_probes_go_to_a_dead_target);
    CPPUNIT_TEST(a_shed_reply_pauses_and_halves_the_window);
    CPPUNIT_TEST(a_new_target_is_ramped_up);
    CPPUNIT_TEST(slots_are_split_between_the_live_entries_of_the_domain);
    CPPUNIT_TEST(targets_of_another_domain_are_used_only_when_adopted);
    CPPUNIT_TEST(a_lapsed_instance_yields_to_a_leased_sibling);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_target_gets_work_after_its_announcement()
    {
        announce("t1", 5);
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
    }

    void a_starting_target_gets_no_work()
    {
        auto what = target_at("t1", "m1", 5);
        what.state = target_state::starting;
        it_.settle();
        it_.tell(what);
        it_.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<send_attempt>().size());
    }

    void a_silent_target_gets_no_work_within_two_seconds()
    {
        announce("t1", 5);
        it_.pass(milliseconds(1400));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it_.limit_of("t1"));
        it_.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
    }

    void a_leaving_target_gets_no_new_work_at_once()
    {
        announce("t1", 5);
        announce("t1", 5, target_state::leaving);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
    }

    void a_late_serving_announcement_does_not_bring_a_leaving_target_back()
    {
        announce("t1", 5);
        announce("t1", 5, target_state::leaving);
        announce("t1", 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
    }

    void a_leaving_announcement_is_passed_on_at_once()
    {
        it_.lease({self_, sibling_});
        it_.tell(target_at("t1", "m1", 5));
        it_.out().clear();
        auto what = target_at("t1", "m1", 5);
        what.state = target_state::leaving;
        it_.tell(what);
        auto const sent = it_.take_messages<messages::target_relay>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, sent[0].first.value());
        CPPUNIT_ASSERT(sent[0].second.heard.at(0).state == target_state::leaving);
    }

    void a_relayed_announcement_counts_like_a_heard_one()
    {
        it_.settle();
        it_.deliver(instance_id(2), any_message::of(messages::target_relay{
                                        .leased = true, .heard = {target_at("t1", "m1", 5)}}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it_.limit_of("t1"));
    }

    void a_refused_connection_suspects_the_target_against_its_word()
    {
        announce("t1", 5);
        it_.ask();
        it_.fail(it_.take<send_attempt>().at(0).id, attempt_failure::connect_refused,
                 verdict::not_run);
        announce("t1", 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
    }

    void a_healthy_probe_brings_a_failing_target_back()
    {
        a_refused_connection_suspects_the_target_against_its_word();
        it_.pass(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<probe_target>().size());
        it_.tell(probe_ended{.id = target_id("t1"), .healthy = true});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it_.limit_of("t1"));
    }

    void few_probes_go_to_a_dead_target()
    {
        a_refused_connection_suspects_the_target_against_its_word();
        for (int n = 0; n != 600; ++n)
        {
            it_.pass(milliseconds(100));
            it_.tell(target_at("t1", "m1", 5));
            for (auto const& probe : it_.take<probe_target>())
                it_.tell(probe_ended{.id = probe.id, .healthy = false});
        }
        auto const sent = it_.counter("targets.probes");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 5 && sent <= 12);
    }

    void a_shed_reply_pauses_and_halves_the_window()
    {
        announce("t1", 8);
        for (int n = 0; n != 4; ++n)
            it_.ask();
        it_.fail(it_.take<send_attempt>().at(0).id, attempt_failure::shed, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
        it_.pass(milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, it_.limit_of("t1"));
    }

    void a_new_target_is_ramped_up()
    {
        announce("old", 8);
        it_.pass(seconds(3));
        it_.tell(target_at("new", "m1", 8));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, it_.limit_of("new"));
        for (int n = 0; n != 5; ++n)
        {
            it_.pass(seconds(1));
            it_.tell(target_at("new", "m1", 8));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, it_.limit_of("new"));
        for (int n = 0; n != 5; ++n)
        {
            it_.pass(seconds(1));
            it_.tell(target_at("new", "m1", 8));
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, it_.limit_of("new"));
    }

    void slots_are_split_between_the_live_entries_of_the_domain()
    {
        announce("t1", 8);
        it_.lease({self_, sibling_});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, it_.limit_of("t1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, it_.target("t1")->most_connections.count());
    }

    void targets_of_another_domain_are_used_only_when_adopted()
    {
        it_.settle();
        it_.tell(target_at("t1", "m2", 5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
        it_.lease({self_}, config_with(), {}, {domain_id("m2")});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, it_.limit_of("t1"));
    }

    void a_lapsed_instance_yields_to_a_leased_sibling()
    {
        it_.lease({self_, sibling_});
        it_.pass(seconds(4));
        it_.lose_control();
        it_.pass(seconds(4));
        it_.tell(target_at("t1", "m1", 4));
        it_.pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, it_.limit_of("t1"));
        it_.deliver(instance_id(2), any_message::of(messages::target_relay{.leased = true}));
        it_.pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it_.limit_of("t1"));
    }

private:
    void announce(std::string const& id, std::int64_t capacity,
                  target_state state = target_state::serving)
    {
        if (it_.counter("targets.announcements") == 0)
            it_.settle();
        auto what = target_at(id, "m1", capacity);
        what.state = state;
        it_.tell(what);
    }

    messages::member self_ = member_of(instance_at(1, "marmara", "m1"));
    messages::member sibling_ = member_of(instance_at(2, "marmara", "m1"));
    rig it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_registry_test);

} // namespace

} // namespace mulberryrudder::entry
