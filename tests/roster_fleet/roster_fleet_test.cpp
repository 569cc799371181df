#include "roster_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::testing
{

namespace
{

/// Number of targets. Their notices together take longer on an entry's link than the longest
/// timeout for an answer.
constexpr int total_targets = 480;
/// Number of targets where the size of their notices does not matter.
constexpr int small_total = 60;
/// Fleets of each test in which the order of reports is random.
constexpr std::uint64_t seeds = 6;
/// Control instances beside the one that receives an announcement.
constexpr std::size_t other_controls = 8;
/// Time between two announcements of a target.
constexpr milliseconds announcement_interval{1500};
/// Messages from one control instance to another until a leave in the first of them is
/// acknowledged: an exchange interval and a round trip, with a message every 40 ms.
constexpr std::size_t max_repeats = 7;
/// Limit DRAIN: time after the acknowledgement of a leave for which requests may still reach
/// the target.
constexpr milliseconds drain_limit{2500};

/// Limit CONFIG: time after the acknowledgement of an order for which entries may still apply
/// an older state.
constexpr milliseconds config_limit{2500};

/// Limit of what a daemon of any role sends and receives for control.
constexpr std::int64_t max_bytes_per_second = 4000;

/// Time after which control instances that are gone are forgotten.
constexpr seconds forgetting_time{25};

/// Limit of the time after which the loss of control instances excuses nothing any more.
constexpr milliseconds contact{3000};

/// Time within which all control instances start after a loss of power.
constexpr milliseconds start_spread{600};
/// Time after the first start of a control instance from which on entries must not act by a plan
/// that may be older than an acknowledged one.
constexpr milliseconds doubt_limit{3000};
/// Time after the first start of a control instance at which one leads: after each of them has
/// waited for the tables of the others.
constexpr milliseconds late_lead{12'000};
/// Time without a word of connected control instances after which an entry is cut off.
constexpr seconds max_silence{5};
/// Time for which control holds a report without news, so that the last word before a cut may be as
/// old.
constexpr milliseconds max_hold{700};
/// Time after which all entries act by the newest plan once there is a leader.
constexpr milliseconds service_limit{2000};

class roster_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(roster_fleet_test);
    CPPUNIT_TEST(all_entries_receive_a_leave_after_control_instances_become_unreachable);
    CPPUNIT_TEST(a_switch_of_control_instance_transfers_only_the_differences);
    CPPUNIT_TEST(an_order_is_acknowledged_quickly_without_faults);
    CPPUNIT_TEST(a_new_state_is_sent_once_to_each_control_instance);
    CPPUNIT_TEST(a_state_is_requested_from_another_instance_if_it_does_not_come);
    CPPUNIT_TEST(an_order_that_no_majority_holds_is_not_acknowledged);
    CPPUNIT_TEST(entries_receive_an_order_that_their_control_instance_cannot_request);
    CPPUNIT_TEST(entries_receive_an_order_after_most_control_instances_return);
    CPPUNIT_TEST(an_order_is_acknowledged_after_seeds_are_gone_for_good);
    CPPUNIT_TEST(two_groups_that_are_cut_off_are_not_both_a_majority);
    CPPUNIT_TEST(entries_find_control_after_an_instance_that_hears_nobody);
    CPPUNIT_TEST(entries_with_a_slow_link_do_not_send_requests_by_an_old_plan);
    CPPUNIT_TEST(entries_serve_again_once_their_link_is_free);
    CPPUNIT_TEST(entries_do_not_rely_on_what_a_restarted_control_instance_missed);
    CPPUNIT_TEST(a_control_instance_that_was_suspended_learns_what_it_missed);
    CPPUNIT_TEST(entries_leave_a_control_instance_that_stops_as_planned);
    CPPUNIT_TEST(an_old_announcement_to_a_restarted_control_instance_restores_no_target);
    CPPUNIT_TEST(a_partition_of_control_instances_ends_with_one_table_from_each);
    CPPUNIT_TEST(a_restart_of_all_control_instances_removes_no_target);
    CPPUNIT_TEST(entries_learn_of_a_leave_that_all_control_instances_forgot);
    CPPUNIT_TEST(a_report_older_than_a_leave_restores_no_target_after_all_control_restarted);
    CPPUNIT_TEST(a_leave_of_a_bare_majority_survives_a_restart_of_all);
    CPPUNIT_TEST(a_disk_that_is_lost_at_a_restart_of_all_forgets_no_leave);
    CPPUNIT_TEST(a_leave_right_after_the_first_start_survives_a_restart_of_all);
    CPPUNIT_TEST(old_reports_at_any_time_after_a_restart_of_all_restore_no_target);
    CPPUNIT_TEST(a_new_start_of_a_target_that_left_serves_after_a_restart_of_all);
    CPPUNIT_TEST(a_leave_is_acknowledged_while_few_disks_hang);
    CPPUNIT_TEST(a_leave_that_few_disks_hold_is_not_acknowledged);
    CPPUNIT_TEST(instances_that_cannot_read_their_disks_acknowledge_no_leave);
    CPPUNIT_TEST(a_leave_is_acknowledged_by_instances_that_keep_none);
    CPPUNIT_TEST(an_announcement_reaches_each_control_instance_once);
    CPPUNIT_TEST(a_leave_is_forwarded_until_it_is_acknowledged);
    CPPUNIT_TEST(announcements_reach_control_instances_that_do_not_hear_their_recipient);
    CPPUNIT_TEST(control_instances_of_a_large_fleet_send_each_other_little);
    CPPUNIT_TEST(a_look_up_names_a_limited_number_of_entries);
    CPPUNIT_TEST(entries_learn_of_a_departure_that_one_of_them_reports);
    CPPUNIT_TEST(entries_that_start_at_once_do_not_each_take_the_whole_rate);
    CPPUNIT_TEST(no_entry_acts_by_an_older_plan_until_a_leader_confirms_the_newest);
    CPPUNIT_TEST(an_entry_that_is_cut_off_for_a_while_acts_by_no_older_plan);
    CPPUNIT_TEST(an_entry_that_is_cut_off_with_its_control_instance_serves_until_control_is_heard);
    CPPUNIT_TEST(an_entry_that_starts_while_nobody_leads_acts_by_no_older_plan);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against QUOTA: entries that start at once were told that they are the only one, since
    // no other one was ready yet, and each admitted the whole rate of every customer.
    void entries_that_start_at_once_do_not_each_take_the_whole_rate()
    {
        constexpr std::size_t entries = 182;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            roster_fleet fleet({.controls = 9, .entries = entries, .seed = seed});
            fleet.apply_first_plan();
            fleet.run(seconds(5));
            for (std::size_t n = 0; n != 9; ++n)
            {
                if (seed % 2 == 0)
                    fleet.clear_disk(n);
                fleet.restart_control(n);
            }
            for (std::size_t n = 0; n != entries; ++n)
                fleet.restart_entry(n);
            fleet.apply_first_plan();
            for (int n = 0; n != 500; ++n)
            {
                fleet.run(milliseconds(10));
                auto const total = known_parts(fleet).count();
                CPPUNIT_ASSERT_MESSAGE(std::to_string(total), total <= whole_share.count());
            }
            CPPUNIT_ASSERT(known_parts(fleet).count() * 10 >= whole_share.count() * 9);
        }
    }

    // Guards against traffic between regions that grows faster than the fleet: what control
    // instances send each other was most of it at 182 entries and 540 targets.
    void control_instances_of_a_large_fleet_send_each_other_little()
    {
        constexpr std::size_t entries = 182;
        constexpr int targets = 540;
        roster_fleet fleet({.controls = 9, .entries = entries, .counts_traffic = true});
        for (int n = 0; n != targets; ++n)
            fleet.start_target(n);
        fleet.apply_first_plan();
        fleet.run(seconds(5));
        auto const before = bytes_of(fleet);
        fleet.run(seconds(10));
        auto const bytes_per_second = (bytes_of(fleet) - before) / 10;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes_per_second),
                               bytes_per_second <=
                                   max_bytes_per_second * static_cast<std::int64_t>(entries + 9));
    }

    // Guards against answers that callers cannot use: they accept 64 addresses, and an answer for a
    // domain without entries names those of the region or of the fleet.
    void a_look_up_names_a_limited_number_of_entries()
    {
        roster_fleet fleet({.controls = 3, .entries = 90});
        fleet.apply_first_plan();
        fleet.run(seconds(2));
        std::set<std::size_t> sizes;
        for (int n = 0; n != 5; ++n)
        {
            auto const id = fleet.request(
                0, any_message::of(control::entry_question{.region = region_id("x")}));
            auto const* const told = fleet.answer(id)->get<control::entries_told>();
            sizes.insert(told->entries.size());
        }
        CPPUNIT_ASSERT(sizes == std::set<std::size_t>{64});
    }

    // Guards against a violation of DRAIN at the other entries: a target that leaves said so in
    // an answer, and its announcement was lost.
    void entries_learn_of_a_departure_that_one_of_them_reports()
    {
        start(small_total, 1);
        fleet_->report_departure(5, 11);
        fleet_->run(drain_limit);
        CPPUNIT_ASSERT_EQUAL(0, entries_serving(11));
    }

    void setUp() override { start(total_targets, 1); }

    // Guards against a violation of DRAIN: entries whose control instance became unreachable
    // requested all targets from one instance after the other. On their links, the answers
    // took longer than the timeout, were discarded as late, and the entries never received
    // that a target leaves.
    void all_entries_receive_a_leave_after_control_instances_become_unreachable()
    {
        fleet_->isolate({3, 4, 5});
        fleet_->run(milliseconds(500));
        auto const id = fleet_->leave(7, 11);
        auto deadline = fleet_->now() + seconds(1);
        while (!is_held(id) && fleet_->now() < deadline)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
        fleet_->run(drain_limit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0, entries_serving(11));
    }

    // Guards against a violation of DRAIN: each switch to another control instance transferred
    // all notices again.
    void a_switch_of_control_instance_transfers_only_the_differences()
    {
        auto const before = fleet_->sent_to_entries();
        fleet_->isolate({3, 4, 5});
        fleet_->run(seconds(4));
        auto const bytes = (fleet_->sent_to_entries() - before).count();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes) + " bytes",
                               bytes < std::int64_t{18} * total_targets * 170 / 3);
    }

    void an_order_is_acknowledged_quickly_without_faults()
    {
        auto const id = evacuate();
        fleet_->commit({0, 1, 2});
        fleet_->run(milliseconds(300));
        CPPUNIT_ASSERT(is_accepted(id));
    }

    // Guards against a waste of traffic and memory: an instance that had an older state asked all
    // others for the newer one with each exchange, and a large plan went over each link many times.
    void a_new_state_is_sent_once_to_each_control_instance()
    {
        for (int n = 0; n != 6; ++n)
        {
            auto const before = fleet_->states_sent();
            acknowledge_evacuation(n % 2 == 0);
            fleet_->run(seconds(1));
            // Three of the nine apply the order themselves.
            CPPUNIT_ASSERT_EQUAL(6, fleet_->states_sent() - before);
        }
    }

    void a_state_is_requested_from_another_instance_if_it_does_not_come()
    {
        // What instance 5 sends to most of those that have the newer state is lost.
        fleet_->cut({5}, {0, 1, 2, 3});
        std::uint64_t generation = 1;
        for (bool const begins : {true, false})
        {
            ++generation;
            acknowledge_evacuation(begins);
            fleet_->run(config_limit - milliseconds(1000));
            CPPUNIT_ASSERT_EQUAL(0, entries_serving_before(generation_id(generation)));
        }
    }

    // Guards against a violation of CONFIG: a leader that was partitioned together with a
    // majority of the voters acknowledged an order that the other control instances and their
    // entries did not receive.
    void an_order_that_no_majority_holds_is_not_acknowledged()
    {
        fleet_->partition({0, 1});
        fleet_->run(seconds(1));
        auto const id = evacuate();
        fleet_->commit({0, 1});
        fleet_->run(seconds(3));
        CPPUNIT_ASSERT_MESSAGE("the answer is not an acknowledgement",
                               fleet_->answer(id) != nullptr && !is_accepted(id));
        fleet_->partition({});
        auto const second_id = evacuate();
        auto const deadline = fleet_->now() + seconds(1);
        while (!is_accepted(second_id) && fleet_->now() < deadline)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("acknowledged once a majority holds it", is_accepted(second_id));
        fleet_->run(config_limit);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT(fleet_->generation(n) == generation_id(2));
    }

    // Guards against a violation of HOME and CONFIG: a control instance that is cut off in one
    // direction hears the others, but its requests for the newest state are lost. It went on
    // answering its entries as if they held that state, and they served keys that had been
    // withdrawn and sent requests to regions that are no home any more.
    void entries_receive_an_order_that_their_control_instance_cannot_request()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            fleet_->mute({4, 8});
            fleet_->run(seconds(1));
            acknowledge_evacuation();
            fleet_->run(config_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries with an older state", 0,
                                         entries_before(generation_id(2)));
        }
    }

    // Guards against a violation of HOME and CONFIG: entries that had lost their control
    // instance tried the others one after the other, each for the longest timeout, and found
    // one that answers only seconds after most of them were back.
    void entries_receive_an_order_after_most_control_instances_return()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            fleet_->isolate({0, 1, 2, 3, 4, 5, 6, 7, 8});
            fleet_->run(seconds(4));
            fleet_->isolate({3, 5, 6, 8});
            fleet_->run(contact - config_limit);
            acknowledge_evacuation();
            fleet_->run(config_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries with an older state", 0,
                                         entries_before(generation_id(2)));
        }
    }

    // Guards against a violation of AckTimeout: seeds of the settings that were gone counted as
    // members for good, so that the loss of one more instance left no majority.
    void an_order_is_acknowledged_after_seeds_are_gone_for_good()
    {
        start_six();
        fleet_->isolate({1, 2});
        fleet_->run(forgetting_time);
        fleet_->isolate({1, 2, 3});
        fleet_->run(seconds(1));
        acknowledge_evacuation();
    }

    // Guards against a violation of DRAIN: of two groups of control instances that were cut off for
    // longer than they remember each other, each took itself for the majority. The one without a
    // leader acknowledged a leave that the entries of the other one did not learn of.
    void two_groups_that_are_cut_off_are_not_both_a_majority()
    {
        start_six();
        fleet_->partition({1, 2, 3});
        fleet_->run(forgetting_time);
        auto const id = fleet_->leave(1, 11);
        fleet_->run(seconds(2));
        CPPUNIT_ASSERT(!is_held(id));
        fleet_->restart_control(3);
        fleet_->run(seconds(2));
        auto const second = fleet_->leave(3, 12);
        fleet_->run(seconds(2));
        CPPUNIT_ASSERT_MESSAGE("nor after a restart", !is_held(second));
    }

    // Guards against a violation of CONFIG: a control instance that has just started hears nobody,
    // and its answer was taken for the list of all. Entries forgot the others; once that instance
    // ended, they had nobody left to ask, and served by their last plan for good.
    void entries_find_control_after_an_instance_that_hears_nobody()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            fleet_ = std::make_unique<roster_fleet>(
                roster_fleet::options{.seed = seed, .entry_seeds = {4}});
            fleet_->apply_first_plan();
            fleet_->run(seconds(1));
            fleet_->partition({4});
            fleet_->restart_control(4);
            fleet_->isolate({0, 1, 2, 3, 5, 6, 7, 8});
            fleet_->run(seconds(3));
            fleet_->isolate({4});
            fleet_->run(contact);
            acknowledge_evacuation();
            fleet_->run(config_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries with an older state", 0,
                                         entries_before(generation_id(2)));
        }
    }

    // Guards against a violation of HOME and CONFIG: on a link that other traffic fills, the
    // answers of control are late by seconds. Entries took them for fresh, and served by plans
    // that had been replaced.
    void entries_with_a_slow_link_do_not_send_requests_by_an_old_plan()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            fleet_->fill_entry_links(per_mille(200 * static_cast<std::int64_t>(seed)), seconds(8));
            for (int n = 0; n != 8; ++n)
            {
                acknowledge_evacuation(n % 2 == 0);
                auto const acknowledged = generation_id(static_cast<std::uint64_t>(n) + 2);
                fleet_->run(config_limit);
                CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that serve by an older state", 0,
                                             entries_serving_before(acknowledged));
            }
        }
    }

    void entries_serve_again_once_their_link_is_free()
    {
        fleet_->fill_entry_links(per_mille(1000), seconds(4));
        fleet_->run(seconds(10));
        fleet_->fill_entry_links(per_mille(0), seconds(0));
        fleet_->run(contact);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT(!fleet_->is_refusing(n));
    }

    // Guards against a violation of DRAIN: a control instance that was down while a target
    // left knew nothing of that target after its start. Entries that had been cut off too got
    // their answers from that instance, and went on sending requests to the target.
    void entries_do_not_rely_on_what_a_restarted_control_instance_missed()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            leave_without(1);
            fleet_->isolate({});
            if (seed % 2 == 0)
                fleet_->clear_disk(1);
            fleet_->restart_control(1);
            fleet_->run(seconds(1));
            fleet_->disconnect({});
            fleet_->run(drain_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                         entries_serving(11));
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                CPPUNIT_ASSERT_EQUAL(std::size_t{small_total - 1}, fleet_->serving_count(n));
        }
    }

    // Guards against entries that hear of no change for over a second after a planned stop, since
    // their reports wait for an instance that is gone.
    void entries_leave_a_control_instance_that_stops_as_planned()
    {
        start(small_total, 1);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT(fleet_->control_of(n).has_value());
        fleet_->stop_control(1);
        fleet_->run(milliseconds(400));
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
        {
            CPPUNIT_ASSERT(fleet_->control_of(n).has_value());
            CPPUNIT_ASSERT(fleet_->control_of(n) != 1);
            CPPUNIT_ASSERT(!fleet_->is_refusing(n));
        }
    }

    // Guards against a violation of DRAIN: a control instance that was suspended for longer than
    // the others repeat a leave went on telling entries that the target serves.
    void a_control_instance_that_was_suspended_learns_what_it_missed()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            fleet_->freeze({1});
            leave_without(1);
            fleet_->freeze({});
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                fleet_->restart_entry(n);
            fleet_->run(seconds(1));
            fleet_->disconnect({});
            fleet_->run(drain_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                         entries_serving(11));
        }
    }

    // Guards against a violation of DRAIN: an announcement that a target had sent before its
    // leave arrived late at a control instance that did not know of the leave any more.
    void an_old_announcement_to_a_restarted_control_instance_restores_no_target()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            leave_without(1);
            fleet_->isolate({});
            if (seed % 2 == 0)
                fleet_->clear_disk(1);
            fleet_->restart_control(1);
            fleet_->run(seconds(1));
            fleet_->deliver_old_announcement(1, 11);
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                fleet_->restart_entry(n);
            fleet_->disconnect({});
            fleet_->run(drain_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                         entries_serving(11));
        }
    }

    // Guards against a waste of traffic between regions: instances that heard too few of the
    // others requested the tables of those that they heard, over and over.
    void a_partition_of_control_instances_ends_with_one_table_from_each()
    {
        auto const before = fleet_->tables_sent();
        fleet_->partition({5, 6, 7, 8});
        fleet_->run(seconds(5));
        CPPUNIT_ASSERT_EQUAL(before, fleet_->tables_sent());
        fleet_->partition({});
        fleet_->run(seconds(2));
        auto const sent = fleet_->tables_sent() - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " tables", sent > 0 && sent <= 4 * 8);
    }

    // Guards against the loss of all targets: after a restart of all control instances, none of
    // them knows a target before its next announcement.
    void a_restart_of_all_control_instances_removes_no_target()
    {
        for (bool const keeps_disks : {true, false})
        {
            for (std::size_t n = 0; n != 9; ++n)
            {
                if (!keeps_disks)
                    fleet_->clear_disk(n);
                fleet_->restart_control(n);
            }
            for (int n = 0; n != 100; ++n)
            {
                fleet_->run(milliseconds(100));
                for (std::size_t k = 0; k != fleet_->entries(); ++k)
                    CPPUNIT_ASSERT_EQUAL(std::size_t{total_targets}, fleet_->serving_count(k));
            }
        }
    }

    // Guards against a violation of DRAIN: all control instances restart after the
    // acknowledgement of a leave, which is not on their disks, before any entry learns of it. The
    // target repeats that it leaves until it ends.
    void entries_learn_of_a_leave_that_all_control_instances_forgot()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            std::set<std::size_t> all_entries;
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                all_entries.insert(n);
            fleet_->disconnect(all_entries);
            auto const id = fleet_->leave_repeatedly(7, 11);
            fleet_->run(milliseconds(400));
            CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
            for (std::size_t n = 0; n != 9; ++n)
            {
                fleet_->clear_disk(n);
                fleet_->restart_control(n);
            }
            fleet_->disconnect({});
            fleet_->run(contact);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                         entries_serving(11));
        }
    }

    // Guards against a violation of DRAIN: all control instances restart after the
    // acknowledgement of a leave. A status report that the target sent before it left arrives late
    // and is taken for a new target, which an entry that was added meanwhile sends requests.
    void a_report_older_than_a_leave_restores_no_target_after_all_control_restarted()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            auto const id = fleet_->deregister(7, 11);
            fleet_->run(milliseconds(500));
            CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
            for (std::size_t n = 0; n != 9; ++n)
                fleet_->restart_control(n);
            fleet_->restart_entry(4);
            fleet_->run(drain_limit);
            fleet_->deliver_old_announcement(seed, 11);
            for (int n = 0; n != 100; ++n)
            {
                fleet_->run(milliseconds(100));
                CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                             entries_serving(11));
            }
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                CPPUNIT_ASSERT_EQUAL(std::size_t{small_total - 1}, fleet_->serving_count(n));
        }
    }

    // Guards against a violation of DRAIN: the only instance that is left of those that
    // acknowledged a leave is outvoted by those that never knew of it.
    void a_leave_of_a_bare_majority_survives_a_restart_of_all()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            leave_at_bare_majority();
            restart_all_control_twice();
            fleet_->partition({});
            expect_no_request_before_holder_returns({5, 6, 7, 8});
            expect_no_request_after_old_reports(seed);
        }
    }

    // Guards against the same where a disk was lost with the power, so that its instance must not
    // count as one that holds every leave.
    void a_disk_that_is_lost_at_a_restart_of_all_forgets_no_leave()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            leave_at_bare_majority();
            restart_all_control_twice();
            fleet_->clear_disk(8);
            fleet_->restart_follower(8, 1);
            fleet_->partition({});
            expect_no_request_before_holder_returns({5, 6, 7});
            expect_no_request_after_old_reports(seed);
        }
    }

    void a_leave_right_after_the_first_start_survives_a_restart_of_all()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            fleet_ = std::make_unique<roster_fleet>(roster_fleet::options{.seed = seed});
            fleet_->start_target(11);
            fleet_->run(seconds(2));
            auto const id = fleet_->deregister(7, 11);
            fleet_->run(milliseconds(500));
            CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
            restart_all_control();
            expect_no_request_after_old_reports(seed);
        }
    }

    void old_reports_at_any_time_after_a_restart_of_all_restore_no_target()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            auto const id = fleet_->deregister(7, 11);
            fleet_->run(milliseconds(500));
            CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
            restart_all_control();
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                fleet_->restart_entry(n);
            for (std::size_t n = 0; n != 60; ++n)
            {
                fleet_->deliver_old_announcement((seed + n) % 9, 11);
                fleet_->run(milliseconds(100));
                CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                             entries_serving(11));
            }
        }
    }

    // Guards against a leave that outlives what it is about.
    void a_new_start_of_a_target_that_left_serves_after_a_restart_of_all()
    {
        start(small_total, 1);
        for (int const target : {11, 12})
            fleet_->deregister(7, target);
        fleet_->run(milliseconds(500));
        restart_all_control();
        fleet_->run(seconds(1));
        fleet_->start_anew(11, 11);
        fleet_->start_anew(70, 12);
        fleet_->run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(fleet_->entries()), entries_serving(11));
        CPPUNIT_ASSERT_EQUAL(0, entries_serving(12));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(fleet_->entries()), entries_serving(70));
    }

    // Guards against leaves that wait for the slowest disk, also that of the instance that took
    // them.
    void a_leave_is_acknowledged_while_few_disks_hang()
    {
        start(small_total, 1);
        fleet_->hang_disks({4, 5, 6, 7});
        auto const id = fleet_->deregister(7, 11);
        fleet_->run(milliseconds(500));
        CPPUNIT_ASSERT(is_held(id));
        fleet_->hang_disks({});
        for (std::size_t n = 4; n != 8; ++n)
            fleet_->fail_disk(n);
        auto const next = fleet_->deregister(7, 12);
        fleet_->run(milliseconds(500));
        CPPUNIT_ASSERT(is_held(next));
    }

    // Guards against an acknowledgement that no majority of disks holds.
    void a_leave_that_few_disks_hold_is_not_acknowledged()
    {
        start(small_total, 1);
        fleet_->hang_disks({4, 5, 6, 7, 8});
        auto const hanging = fleet_->deregister(7, 11);
        fleet_->run(seconds(1));
        CPPUNIT_ASSERT(fleet_->answer(hanging) != nullptr && !is_held(hanging));
        fleet_->hang_disks({});
        fleet_->run(seconds(1));
        for (std::size_t n = 4; n != 9; ++n)
            fleet_->fail_disk(n);
        auto const failed = fleet_->deregister(7, 12);
        fleet_->run(seconds(1));
        CPPUNIT_ASSERT(fleet_->answer(failed) != nullptr && !is_held(failed));
        for (std::size_t n = 4; n != 9; ++n)
            fleet_->mend_disk(n);
        auto const repeated = fleet_->deregister(7, 12);
        fleet_->run(milliseconds(500));
        CPPUNIT_ASSERT(is_held(repeated));
    }

    // Guards against a leave that is held in memory only, by instances that took the failure to
    // read their disks for having none.
    void instances_that_cannot_read_their_disks_acknowledge_no_leave()
    {
        start(small_total, 1);
        for (std::size_t n = 4; n != 9; ++n)
        {
            fleet_->fail_disk(n);
            fleet_->restart_control(n);
        }
        fleet_->run(seconds(2));
        auto const id = fleet_->deregister(7, 11);
        fleet_->run(seconds(1));
        CPPUNIT_ASSERT(fleet_->answer(id) != nullptr && !is_held(id));
        fleet_->mend_disk(4);
        fleet_->run(seconds(1));
        auto const repeated = fleet_->deregister(7, 11);
        fleet_->run(milliseconds(500));
        CPPUNIT_ASSERT(is_held(repeated));
    }

    // Guards against an update of the control instances in turn during which no leave is
    // acknowledged.
    void a_leave_is_acknowledged_by_instances_that_keep_none()
    {
        start(small_total, 1);
        fleet_->remove_disks({3, 4, 5, 6, 7, 8});
        for (std::size_t n = 3; n != 9; ++n)
            fleet_->restart_control(n);
        fleet_->run(seconds(2));
        for (std::size_t const control : {1, 7})
        {
            auto const id = fleet_->deregister(control, static_cast<int>(control));
            fleet_->run(milliseconds(500));
            CPPUNIT_ASSERT(is_held(id));
        }
    }

    // Guards against a violation of AckTimeout: each control instance forwarded the announcements
    // that others had forwarded to it, and with many targets had no time left to decide orders.
    void an_announcement_reaches_each_control_instance_once()
    {
        auto const before = fleet_->notices_between_controls();
        fleet_->run(announcement_interval * 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4} * total_targets * other_controls,
                             fleet_->notices_between_controls() - before);
    }

    // Guards against a violation of AckTimeout: each message between control instances contained
    // all leaves of the last seconds, and each leave caused messages, so that control instances
    // had no time left to decide orders while many targets left.
    void a_leave_is_forwarded_until_it_is_acknowledged()
    {
        constexpr std::size_t leaves = 160;
        auto const before = fleet_->notices_between_controls();
        for (std::size_t n = 0; n != leaves; ++n)
        {
            fleet_->leave(n % 9, static_cast<int>(n));
            fleet_->run(milliseconds(10));
        }
        fleet_->run(seconds(8) - milliseconds(10) * leaves);
        constexpr std::size_t rounds = 6; // Each target announces itself up to six times in 8 s.
        auto const announcements = rounds * total_targets * other_controls;
        auto const notices = fleet_->notices_between_controls() - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(notices) + " notices",
                               notices <=
                                   announcements + leaves * 9 * other_controls * max_repeats);
    }

    // Guards against the loss of targets: a control instance that one other does not reach, in
    // one direction, learns of the announcements to that one from the rest.
    void announcements_reach_control_instances_that_do_not_hear_their_recipient()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            start(small_total, seed);
            fleet_->cut({4, 8}, {2, 6});
            fleet_->run(seconds(10));
            for (std::size_t n = 0; n != fleet_->entries(); ++n)
                CPPUNIT_ASSERT_EQUAL(std::size_t{small_total}, fleet_->serving_count(n));
        }
    }

    // Guards against a violation of CONFIG: after a restart of all control instances, entries acted
    // by an older plan before there was a leader, and again from the moment on at which most
    // control instances were not connected.
    void no_entry_acts_by_an_older_plan_until_a_leader_confirms_the_newest()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            lose_power(seed);
            run_without_an_older_plan(late_lead);
            expect_service_by(seed);
        }
    }

    // Guards against a violation of CONFIG: an entry that lost all control instances for a while
    // forgot that they had restarted.
    void an_entry_that_is_cut_off_for_a_while_acts_by_no_older_plan()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            lose_power(seed);
            auto const begin = doubt_limit + milliseconds(500) * static_cast<int>(seed);
            run_without_an_older_plan(begin);
            fleet_->disconnect({2, 7, 13});
            run_without_an_older_plan(begin + seconds(2));
            fleet_->disconnect({});
            run_without_an_older_plan(late_lead);
            expect_service_by(seed);
        }
    }

    // Guards against an outage of a failure domain that is cut off together with its control
    // instance, which can confirm nothing; and against a violation of CONFIG once control is heard
    // again, since nothing was confirmed meanwhile.
    void an_entry_that_is_cut_off_with_its_control_instance_serves_until_control_is_heard()
    {
        std::set<std::size_t> const confined{2, 4, 13};
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            lose_power(seed);
            auto const begin = doubt_limit + milliseconds(200) * static_cast<int>(seed);
            run_without_an_older_plan(begin);
            fleet_->partition({4});
            fleet_->confine(confined, 4);
            run_without_an_older_plan(begin + max_silence - max_hold);
            while (fleet_->now() < first_start_ + late_lead - milliseconds(1500))
            {
                fleet_->run(milliseconds(10));
                CPPUNIT_ASSERT_EQUAL(0, entries_serving_before(generation_id(2), confined));
            }
            for (auto const entry : confined)
                CPPUNIT_ASSERT(fleet_->acts_by_plan(entry));
            fleet_->partition({});
            fleet_->confine({}, 4);
            fleet_->run(seconds(1));
            run_without_an_older_plan(late_lead);
            expect_service_by(seed);
        }
    }

    // Guards against a violation of CONFIG: an entry that started while nobody led acted by the
    // plan that the restarted control instances held, without a confirmation.
    void an_entry_that_starts_while_nobody_leads_acts_by_no_older_plan()
    {
        for (std::uint64_t seed = 1; seed != seeds; ++seed)
        {
            lose_power(seed);
            auto const begin = seconds(1) + milliseconds(1000) * static_cast<int>(seed);
            run_without_an_older_plan(begin);
            for (std::size_t const entry : {2U, 7U, 13U})
                fleet_->restart_entry(entry);
            run_without_an_older_plan(late_lead);
            expect_service_by(seed);
        }
    }

private:
    /// Lets all control instances lose power right after the acknowledgement of an evacuation of
    /// which no entry has heard, and start again one after the other. Nobody leads, and all of them
    /// hold the state before the evacuation.
    void lose_power(std::uint64_t seed)
    {
        start(small_total, seed);
        std::set<std::size_t> entries;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            entries.insert(n);
        fleet_->disconnect(entries);
        acknowledge_evacuation();
        std::vector<std::size_t> order{0, 1, 2, 3, 4, 5, 6, 7, 8};
        std::set<std::size_t> down(order.begin(), order.end());
        fleet_->freeze(down);
        fleet_->disconnect({});
        fleet_->run(milliseconds(300) * static_cast<int>(seed));
        random_source random(seed);
        std::shuffle(order.begin(), order.end(), random);
        first_start_ = fleet_->now();
        for (auto const control : order)
        {
            fleet_->restart_follower(control, 1);
            down.erase(control);
            fleet_->freeze(down);
            fleet_->run(start_spread / order.size());
        }
    }

    /// Runs until a time since the first start of a control instance. From `doubt_limit` on no
    /// entry may act by the plan before the evacuation.
    void run_without_an_older_plan(span until)
    {
        while (fleet_->now() < first_start_ + until)
        {
            fleet_->run(milliseconds(10));
            if (fleet_->now() < first_start_ + doubt_limit)
                continue;
            auto const ms =
                std::chrono::duration_cast<milliseconds>(fleet_->now() - first_start_).count();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that act by an older plan after " +
                                             std::to_string(ms) + " ms",
                                         0, entries_serving_before(generation_id(2)));
        }
    }

    /// Lets a control instance lead that holds the evacuation, and expects that all entries act by
    /// it soon.
    void expect_service_by(std::uint64_t leader)
    {
        fleet_->lead(leader);
        run_without_an_older_plan(fleet_->now() + service_limit - first_start_);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT(fleet_->acts_by_plan(n) && fleet_->generation(n) == generation_id(2));
    }

    /// Returns the sum of the parts of the rates of all entries that know theirs.
    static per_mille known_parts(roster_fleet& fleet)
    {
        per_mille out;
        for (std::size_t n = 0; n != fleet.entries(); ++n)
            if (auto const part = fleet.part_of(n))
                out += *part;
        return out;
    }

    static std::int64_t bytes_of(roster_fleet const& fleet)
    {
        std::int64_t out = 0;
        for (auto const& [kind, total] : fleet.traffic())
            out += total.bytes.count();
        return out;
    }

    void start(int targets, std::uint64_t seed)
    {
        fleet_ = std::make_unique<roster_fleet>(roster_fleet::options{.seed = seed});
        fleet_->apply_first_plan();
        fleet_->run(seconds(1));
        for (int n = 0; n != targets; ++n)
            fleet_->start_target(n);
        fleet_->run(seconds(6));
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(targets), fleet_->serving_count(n));
    }

    /// Starts a fleet of six control instances, three of which are seeds of the settings.
    void start_six()
    {
        fleet_ = std::make_unique<roster_fleet>(roster_fleet::options{.controls = 6});
        fleet_->apply_first_plan();
        fleet_->start_target(11);
        fleet_->start_target(12);
        fleet_->run(seconds(3));
    }

    /// Target 11 deregisters while this control instance and all entries cannot be reached. When
    /// this returns, control instances do not forward the leave any more.
    void leave_without(std::size_t control)
    {
        std::set<std::size_t> entries;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            entries.insert(n);
        fleet_->isolate({control});
        fleet_->disconnect(entries);
        fleet_->run(seconds(1));
        auto const id = fleet_->deregister(7, 11);
        fleet_->run(seconds(6));
        CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
    }

    control::operator_request_id evacuate(bool begins = true)
    {
        return fleet_->request(0,
                               any_message::of(control::evacuation_order{domain_id("d7"), begins}));
    }

    bool is_accepted(control::operator_request_id id) const
    {
        auto const* const answer = fleet_->answer(id);
        auto const* const decision =
            answer == nullptr ? nullptr : answer->get<control::steering_answer>();
        return decision != nullptr && decision->result == control::order_result::accepted;
    }

    bool is_held(control::operator_request_id id) const
    {
        auto const* const answer = fleet_->answer(id);
        return answer != nullptr && answer->get<control::announcement_taken>()->held;
    }

    /// Evacuates a failure domain, or ends that; returns once it is acknowledged.
    void acknowledge_evacuation(bool begins = true)
    {
        auto const id = evacuate(begins);
        fleet_->commit({0, 1, 2});
        auto const deadline = fleet_->now() + seconds(1);
        while (!is_accepted(id) && fleet_->now() < deadline)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("the evacuation is acknowledged", is_accepted(id));
    }

    int entries_before(generation_id generation)
    {
        int out = 0;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            out += fleet_->generation(n) < generation;
        return out;
    }

    int entries_serving_before(generation_id generation, std::set<std::size_t> const& except = {})
    {
        int out = 0;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            out += !except.contains(n) && fleet_->generation(n) < generation &&
                   fleet_->acts_by_plan(n);
        return out;
    }

    void restart_all_control()
    {
        for (std::size_t n = 0; n != 9; ++n)
            fleet_->restart_control(n);
    }

    /// Starts all control instances with the first plan, and once more right after that.
    void restart_all_control_twice()
    {
        for (int count = 0; count != 2; ++count)
        {
            for (std::size_t n = 0; n != 9; ++n)
                fleet_->restart_follower(n, 1);
            fleet_->run(milliseconds(100));
        }
    }

    /// Deregisters target 11 while control instances 0 to 3 are cut off from the others.
    void leave_at_bare_majority()
    {
        fleet_->partition({0, 1, 2, 3});
        fleet_->run(seconds(1));
        auto const id = fleet_->deregister(7, 11);
        fleet_->run(milliseconds(700));
        CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
    }

    /// Lets control instance 4, the last one that holds the leave of target 11, come back after the
    /// others but those that stay away. Meanwhile a report arrives that the target sent before.
    void expect_no_request_before_holder_returns(std::set<std::size_t> const& away)
    {
        auto all_away = away;
        all_away.insert(4);
        fleet_->isolate(all_away);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            fleet_->restart_entry(n);
        fleet_->run(milliseconds(100));
        fleet_->lead(0);
        for (int n = 0; n != 20; ++n)
        {
            if (n == 5)
                fleet_->deliver_old_announcement(0, 11);
            fleet_->run(milliseconds(100));
            for (std::size_t k = 0; k != fleet_->entries(); ++k)
                CPPUNIT_ASSERT_MESSAGE("an entry sends requests too early",
                                       !fleet_->acts_by_plan(k) || !fleet_->is_serving(k, 11));
        }
        fleet_->isolate(away);
    }

    /// Starts all entries anew and delivers reports that target 11 sent before it left.
    void expect_no_request_after_old_reports(std::uint64_t seed)
    {
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            fleet_->restart_entry(n);
        fleet_->run(drain_limit);
        for (int n = 0; n != 100; ++n)
        {
            if (n % 25 == 0)
                fleet_->deliver_old_announcement((seed + n / 25) % 5, 11);
            fleet_->run(milliseconds(100));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0,
                                         entries_serving(11));
        }
    }

    int entries_serving(int target)
    {
        int out = 0;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            out += fleet_->is_serving(n, target);
        return out;
    }

    std::unique_ptr<roster_fleet> fleet_;
    instant first_start_; ///< Of a control instance after the last loss of power.
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_fleet_test);

} // namespace

} // namespace mulberryrudder::testing
