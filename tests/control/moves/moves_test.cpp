#include "bench/instant_log.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control/operator_moves.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

route_id const route("sheet");
version_id const v1("v1");
version_id const v2("v2");

class moves_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moves_test);
    CPPUNIT_TEST(a_good_version_gets_the_whole_route_before_the_deadline);
    CPPUNIT_TEST(a_move_without_measurements_is_held);
    CPPUNIT_TEST(a_trip_on_one_entry_rolls_the_move_back_at_once);
    CPPUNIT_TEST(failures_over_all_entries_roll_the_move_back);
    CPPUNIT_TEST(a_fault_in_the_watch_rolls_the_move_back);
    CPPUNIT_TEST(a_lowered_cap_lowers_the_share);
    CPPUNIT_TEST(a_raised_cap_continues_from_the_present_share);
    CPPUNIT_TEST(a_new_leader_continues_from_the_committed_share);
    CPPUNIT_TEST(a_new_leader_takes_no_step_before_it_has_measurements);
    CPPUNIT_TEST(a_lost_command_is_proposed_again);
    CPPUNIT_TEST(a_second_move_on_the_route_is_refused);
    CPPUNIT_TEST(a_replica_that_does_not_lead_proposes_no_step);
    CPPUNIT_TEST(a_report_lists_the_steps_and_the_evidence);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        effects out;
        core_.handle(now_, disk_recovered{}, out);
        run(1);
        release_note note{.number = note_number(1)};
        note.add.routes[route] = {.open = true, .version = v1};
        commit(note);
    }

    void a_good_version_gets_the_whole_route_before_the_deadline()
    {
        order(whole_share);
        run(235);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, share());
        run(900);
        CPPUNIT_ASSERT(state().moves().empty());
        CPPUNIT_ASSERT(move_outcome::done == state().ended_moves().back().outcome);
        CPPUNIT_ASSERT_EQUAL(v2.value(), state().config()->routes.at(route).version.value());
    }

    void a_move_without_measurements_is_held()
    {
        order(whole_share);
        run(20);
        auto const before = share();
        reports_stopped_ = true;
        run(200);
        CPPUNIT_ASSERT_EQUAL(before, share());
        CPPUNIT_ASSERT_EQUAL(std::string("held"), explain().state);
        reports_stopped_ = false;
        run(60);
        CPPUNIT_ASSERT(share() > before);
    }

    void a_trip_on_one_entry_rolls_the_move_back_at_once()
    {
        order(whole_share);
        run(20);
        send_report({.route = route, .version = v2, .tripped = true});
        tick();
        CPPUNIT_ASSERT(is_rolled_back());
    }

    void failures_over_all_entries_roll_the_move_back()
    {
        order(whole_share);
        run(20);
        new_version_fails_ = true;
        run(3);
        CPPUNIT_ASSERT(is_rolled_back());
    }

    void a_fault_in_the_watch_rolls_the_move_back()
    {
        order(whole_share);
        run(250);
        CPPUNIT_ASSERT_EQUAL(std::string("watching"), explain().state);
        new_version_fails_ = true;
        run(3);
        CPPUNIT_ASSERT(is_rolled_back());
    }

    void a_lowered_cap_lowers_the_share()
    {
        order(whole_share);
        run(100);
        CPPUNIT_ASSERT(share() > 50);
        change_cap(per_mille(50));
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, share());
    }

    void a_raised_cap_continues_from_the_present_share()
    {
        order(per_mille(50));
        run(200);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, share());
        change_cap(whole_share);
        run(30);
        CPPUNIT_ASSERT(share() > 50);
    }

    void a_new_leader_continues_from_the_committed_share()
    {
        order(whole_share);
        run(50);
        auto const before = share();
        change_leader();
        CPPUNIT_ASSERT_EQUAL(before, share());
        run(185);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, share());
    }

    void a_new_leader_takes_no_step_before_it_has_measurements()
    {
        order(whole_share);
        run(60);
        auto const before = share();
        reports_stopped_ = true;
        change_leader();
        run(200);
        CPPUNIT_ASSERT_EQUAL(before, share());
    }

    void a_lost_command_is_proposed_again()
    {
        log().loses_commands = true;
        order(whole_share);
        run(5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, share());
        log().loses_commands = false;
        run(3);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, share());
    }

    void a_second_move_on_the_route_is_refused()
    {
        order(whole_share);
        release_note note{.number = note_number(3)};
        note.add.moves[route] = {version_id("v3"), whole_share, deadline()};
        commit(note);
        CPPUNIT_ASSERT_EQUAL(v2.value(), state().moves().at(route).terms.version.value());
    }

    void a_replica_that_does_not_lead_proposes_no_step()
    {
        log().wants_to_lead = false;
        tick();
        order(whole_share);
        run(50);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, share());
    }

    void a_report_lists_the_steps_and_the_evidence()
    {
        order(whole_share);
        run(40);
        new_version_fails_ = true;
        run(3);
        auto const report = explain();
        CPPUNIT_ASSERT_EQUAL(std::string("taken back"), report.state);
        CPPUNIT_ASSERT_EQUAL(std::string("step"), report.steps.front().what);
        CPPUNIT_ASSERT_EQUAL(std::string("taken back"), report.steps.back().what);
        CPPUNIT_ASSERT(report.evidence.front().starts_with("The new version failed more often"));
    }

private:
    bench::instant_log& log() { return *core_.services().find<bench::instant_log>(); }
    fleet_state_view& state() { return *core_.services().find<fleet_state_view>(); }
    std::int64_t share() { return state().config()->routes.at(route).next_share.count(); }
    utc_time deadline() const
    {
        return utc_time((start_ + seconds(240)).time_since_epoch().count());
    }

    bool is_rolled_back()
    {
        return state().moves().empty() &&
               state().ended_moves().back().outcome == move_outcome::taken_back;
    }

    void commit(release_note const& note)
    {
        bool const loses_commands = log().loses_commands;
        log().loses_commands = false;
        log().propose(any_message::of(commit_note{note, content_digest(note)}));
        log().loses_commands = loses_commands;
        tick();
    }

    void order(per_mille cap)
    {
        release_note note{.number = note_number(2)};
        note.add.moves[route] = {v2, cap, deadline()};
        commit(note);
    }

    void change_cap(per_mille cap)
    {
        release_note note{.number = note_number(3)};
        note.change.moves[route] = {.cap = cap};
        commit(note);
    }

    void change_leader()
    {
        log().wants_to_lead = false;
        run(2);
        log().wants_to_lead = true;
        tick();
    }

    void tick()
    {
        effects out;
        core_.tick(now_, out);
    }

    void send_report(messages::version_observation const& report)
    {
        messages::renew_request request;
        request.observations.push_back(report);
        effects out;
        core_.handle(
            now_, message_arrived{{instance_id(5), instance_id(1), any_message::of(request)}}, out);
    }

    /// Advances the time by `count` seconds. Each second one entry reports on both versions,
    /// unless the reports are stopped.
    void run(int count)
    {
        for (; count != 0; --count)
        {
            now_ += seconds(1);
            if (!reports_stopped_)
            {
                send_report(observation(v1, false));
                send_report(observation(v2, new_version_fails_));
            }
            tick();
        }
    }

    static messages::version_observation observation(version_id const& version, bool is_failing)
    {
        return {.route = route,
                .version = version,
                .answered = requests(is_failing ? 10 : 40),
                .failed = requests(is_failing ? 30 : 0),
                .latency_sum = milliseconds(400),
                .latency_worst = milliseconds(20)};
    }

    move_report explain()
    {
        effects out;
        core_.handle(
            now_, operator_asked{operator_request_id(1), any_message::of(move_query{route})}, out);
        return *std::get<answer_operator>(out.back()).body.get<move_report>();
    }

    instant const start_{seconds(1000)};
    instant now_ = start_;
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    core core_{{.config = config_,
                .counters = counters_,
                .events = events_,
                .self = {.self = {.id = instance_id(1)}},
                .seed = 1}};
    bool reports_stopped_ = false;
    bool new_version_fails_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(moves_test);

} // namespace

} // namespace mulberryrudder::control
