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

route_id const sheet("sheet");
version_id const v1("v1");
version_id const v2("v2");

class moves_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moves_test);
    CPPUNIT_TEST(a_good_version_takes_over_before_the_deadline);
    CPPUNIT_TEST(without_measurements_the_move_is_held);
    CPPUNIT_TEST(a_trip_on_one_entry_takes_the_move_back_at_once);
    CPPUNIT_TEST(failures_over_all_entries_take_the_move_back);
    CPPUNIT_TEST(a_fault_in_the_watch_takes_the_move_back);
    CPPUNIT_TEST(a_lowered_cap_lowers_the_share);
    CPPUNIT_TEST(a_raised_cap_goes_on_from_the_share);
    CPPUNIT_TEST(a_new_leader_goes_on_from_the_committed_share);
    CPPUNIT_TEST(a_new_leader_takes_no_step_without_measurements_of_its_own);
    CPPUNIT_TEST(a_lost_command_is_proposed_again);
    CPPUNIT_TEST(a_second_move_on_the_route_is_refused);
    CPPUNIT_TEST(a_replica_that_does_not_lead_steps_nothing);
    CPPUNIT_TEST(the_report_explains_what_was_done);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        effects todo;
        core_.handle(now_, disk_recovered{}, todo);
        run(1);
        release_note note{.number = note_number(1)};
        note.add.routes[sheet] = {.open = true, .version = v1};
        commit(note);
    }

    void a_good_version_takes_over_before_the_deadline()
    {
        order(whole_share);
        run(235);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, share());
        run(900);
        CPPUNIT_ASSERT(state().moves().empty());
        CPPUNIT_ASSERT(move_outcome::done == state().ended_moves().back().outcome);
        CPPUNIT_ASSERT_EQUAL(v2.value(), state().config()->routes.at(sheet).version.value());
    }

    void without_measurements_the_move_is_held()
    {
        order(whole_share);
        run(20);
        auto const before = share();
        silent_ = true;
        run(200);
        CPPUNIT_ASSERT_EQUAL(before, share());
        CPPUNIT_ASSERT_EQUAL(std::string("held"), explained().state);
        silent_ = false;
        run(60);
        CPPUNIT_ASSERT(share() > before);
    }

    void a_trip_on_one_entry_takes_the_move_back_at_once()
    {
        order(whole_share);
        run(20);
        report({.route = sheet, .version = v2, .tripped = true});
        tick();
        CPPUNIT_ASSERT(is_taken_back());
    }

    void failures_over_all_entries_take_the_move_back()
    {
        order(whole_share);
        run(20);
        failing_ = true;
        run(3);
        CPPUNIT_ASSERT(is_taken_back());
    }

    void a_fault_in_the_watch_takes_the_move_back()
    {
        order(whole_share);
        run(250);
        CPPUNIT_ASSERT_EQUAL(std::string("watching"), explained().state);
        failing_ = true;
        run(3);
        CPPUNIT_ASSERT(is_taken_back());
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

    void a_raised_cap_goes_on_from_the_share()
    {
        order(per_mille(50));
        run(200);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, share());
        change_cap(whole_share);
        run(30);
        CPPUNIT_ASSERT(share() > 50);
    }

    void a_new_leader_goes_on_from_the_committed_share()
    {
        order(whole_share);
        run(50);
        auto const before = share();
        change_leader();
        CPPUNIT_ASSERT_EQUAL(before, share());
        run(185);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, share());
    }

    void a_new_leader_takes_no_step_without_measurements_of_its_own()
    {
        order(whole_share);
        run(60);
        auto const before = share();
        silent_ = true;
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
        note.add.moves[sheet] = {version_id("v3"), whole_share, deadline()};
        commit(note);
        CPPUNIT_ASSERT_EQUAL(v2.value(), state().moves().at(sheet).terms.version.value());
    }

    void a_replica_that_does_not_lead_steps_nothing()
    {
        log().wants_to_lead = false;
        tick();
        order(whole_share);
        run(50);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, share());
    }

    void the_report_explains_what_was_done()
    {
        order(whole_share);
        run(40);
        failing_ = true;
        run(3);
        auto const it = explained();
        CPPUNIT_ASSERT_EQUAL(std::string("taken back"), it.state);
        CPPUNIT_ASSERT_EQUAL(std::string("step"), it.steps.front().what);
        CPPUNIT_ASSERT_EQUAL(std::string("taken back"), it.steps.back().what);
        CPPUNIT_ASSERT(it.evidence.front().starts_with("The new version failed more often"));
    }

private:
    bench::instant_log& log() { return *core_.services().find<bench::instant_log>(); }
    fleet_state_view& state() { return *core_.services().find<fleet_state_view>(); }
    std::int64_t share() { return state().config()->routes.at(sheet).next_share.count(); }
    utc_time deadline() const
    {
        return utc_time((start_ + seconds(240)).time_since_epoch().count());
    }

    bool is_taken_back()
    {
        return state().moves().empty() &&
               state().ended_moves().back().outcome == move_outcome::taken_back;
    }

    void commit(release_note const& note)
    {
        bool const loses = log().loses_commands;
        log().loses_commands = false;
        log().propose(any_message::of(commit_note{note, content_digest(note)}));
        log().loses_commands = loses;
        tick();
    }

    void order(per_mille cap)
    {
        release_note note{.number = note_number(2)};
        note.add.moves[sheet] = {v2, cap, deadline()};
        commit(note);
    }

    void change_cap(per_mille cap)
    {
        release_note note{.number = note_number(3)};
        note.change.moves[sheet] = {.cap = cap};
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
        effects todo;
        core_.tick(now_, todo);
    }

    void report(messages::version_observation const& seen)
    {
        messages::renew_request it;
        it.observations.push_back(seen);
        effects todo;
        core_.handle(now_, message_arrived{{instance_id(5), instance_id(1), any_message::of(it)}},
                     todo);
    }

    /// Lets seconds pass in which one entry reports on both versions.
    void run(int count)
    {
        for (; count != 0; --count)
        {
            now_ += seconds(1);
            if (!silent_)
            {
                report(seen(v1, false));
                report(seen(v2, failing_));
            }
            tick();
        }
    }

    static messages::version_observation seen(version_id const& version, bool failing)
    {
        return {.route = sheet,
                .version = version,
                .answered = requests(failing ? 10 : 40),
                .failed = requests(failing ? 30 : 0),
                .latency_sum = milliseconds(400),
                .latency_worst = milliseconds(20)};
    }

    move_report explained()
    {
        effects todo;
        core_.handle(
            now_, operator_asked{operator_request_id(1), any_message::of(move_query{sheet})}, todo);
        return *std::get<answer_operator>(todo.back()).body.get<move_report>();
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
    bool silent_ = false;
    bool failing_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(moves_test);

} // namespace

} // namespace mulberryrudder::control
