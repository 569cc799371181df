#include "running_group.hpp"

#include <plugins/control/replica/replica_events.hpp>

#include <mulberryrudder/messages/replica.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::control::testing
{

namespace
{

/// Time within which the platform expects service after all machines are back.
constexpr seconds recovery_time{15};

std::ptrdiff_t event_count(fake_group& group, std::uint32_t id, std::string const& name)
{
    auto const& names = group.at(id).events.names;
    return std::count(names.begin(), names.end(), name);
}

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(a_group_of_one_is_founded_and_leads_at_once);
    CPPUNIT_TEST(a_group_of_three_is_founded_once_all_have_started);
    CPPUNIT_TEST(a_blank_majority_does_not_found_a_second_group);
    CPPUNIT_TEST(a_value_reaches_all_replicas);
    CPPUNIT_TEST(a_follower_refuses_proposals);
    CPPUNIT_TEST(an_isolated_leader_stops_within_its_lease);
    CPPUNIT_TEST(a_frozen_leader_may_not_act_after_it_resumes);
    CPPUNIT_TEST(a_returning_isolated_replica_does_not_depose_the_leader);
    CPPUNIT_TEST(a_leader_is_elected_after_a_loss_of_power_although_all_disks_are_slow);
    CPPUNIT_TEST(an_election_waits_for_voters_whose_disks_are_slow);
    CPPUNIT_TEST(a_pre_vote_is_answered_without_waiting_for_the_disk);
    CPPUNIT_TEST(a_leader_is_kept_while_the_others_wait_for_their_disks);
    CPPUNIT_TEST(a_voter_is_replaced_while_disks_are_slow_and_orders_go_on);
    CPPUNIT_TEST(a_voter_whose_disk_is_slow_answers_while_orders_go_on);
    CPPUNIT_TEST(a_voter_is_replaced_while_syncs_take_seconds_and_orders_go_on);
    CPPUNIT_TEST(a_voter_whose_disk_is_slow_neither_counts_as_silent_nor_leaves_first);
    CPPUNIT_TEST(a_voter_whose_disk_hangs_does_not_answer);
    CPPUNIT_TEST(a_leader_that_cannot_commit_gives_way_to_one_that_can);
    CPPUNIT_TEST(a_leader_of_voters_whose_disks_hang_gives_way);
    CPPUNIT_TEST(a_snapshot_is_not_sent_again_while_its_receiver_syncs);
    CPPUNIT_TEST(a_replica_gets_no_vote_while_the_leader_reaches_others);
    CPPUNIT_TEST(a_replica_with_a_failed_disk_neither_votes_nor_leads);
    CPPUNIT_TEST(disks_that_were_full_in_turn_cost_no_voter);
    CPPUNIT_TEST(a_disk_that_fails_while_it_is_restored_is_restored_later);
    CPPUNIT_TEST(a_disk_that_could_not_be_read_at_the_start_is_read_later);
    CPPUNIT_TEST(a_blank_disk_regains_its_vote_automatically);
    CPPUNIT_TEST(a_blank_disk_gets_no_vote_before_it_has_caught_up);
    CPPUNIT_TEST(a_blank_replica_grants_no_vote);
    CPPUNIT_TEST(a_second_disk_loss_after_a_repair_loses_no_value);
    CPPUNIT_TEST(a_copied_disk_gets_a_new_disk_id);
    CPPUNIT_TEST(the_leader_detects_a_disk_that_lost_acknowledged_entries);
    CPPUNIT_TEST(a_lagging_replica_installs_a_snapshot);
    CPPUNIT_TEST(one_command_replaces_an_instance);
    CPPUNIT_TEST(one_command_replaces_the_leader);
    CPPUNIT_TEST(a_repeated_replacement_gets_the_same_answer);
    CPPUNIT_TEST(a_voter_is_kept_while_the_other_ones_form_no_majority);
    CPPUNIT_TEST(a_replacement_that_is_lost_can_be_given_up_for_another);
    CPPUNIT_TEST(a_replacement_that_is_lost_while_it_joins_is_replaced_itself);
    CPPUNIT_TEST(a_follower_redirects_a_replacement_to_the_leader);
    CPPUNIT_TEST(a_restart_keeps_five_hundred_changes);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_group_of_one_is_founded_and_leads_at_once()
    {
        fake_group group(1, running_group_seed);
        group.start(1);
        group.run_for(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(1U, group.acting_leader());
        CPPUNIT_ASSERT(group.propose(7));
        group.run_for(milliseconds(20));
        CPPUNIT_ASSERT(group.has_value(1, 7));
    }

    void a_group_of_three_is_founded_once_all_have_started()
    {
        fake_group group(3, running_group_seed);
        group.start(1);
        group.start(2);
        group.run_for(seconds(10));
        CPPUNIT_ASSERT_EQUAL(0U, group.acting_leader());
        group.start(3);
        group.run_for(seconds(3));
        CPPUNIT_ASSERT(group.acting_leader() != 0);
        CPPUNIT_ASSERT(event_count(group, 1, "replica.founded") == 1);
    }

    void a_blank_majority_does_not_found_a_second_group()
    {
        running_group group(3);
        group.propose_many(1);
        group.kill(1);
        group.kill(2);
        group.at(1).disk.replace_contents({});
        group.at(2).disk.replace_contents({});
        group.start(1);
        group.start(2);
        group.run_for(seconds(30));
        CPPUNIT_ASSERT_EQUAL(0U, group.acting_leader());
        CPPUNIT_ASSERT(group.has_value(3, 1));
        CPPUNIT_ASSERT(event_count(group, 1, "replica.catching_up") > 0);
    }

    void a_value_reaches_all_replicas()
    {
        running_group group(3);
        CPPUNIT_ASSERT(group.propose(7));
        group.run_for(seconds(1));
        for (auto const id : {1U, 2U, 3U})
            CPPUNIT_ASSERT(group.has_value(id, 7));
    }

    void a_follower_refuses_proposals()
    {
        running_group group(3);
        auto& log = group.log_of(group.follower());
        CPPUNIT_ASSERT(!log.propose(any_message::of(test_command{1})));
        CPPUNIT_ASSERT(log.leader() == instance_id(group.acting_leader()));
    }

    void an_isolated_leader_stops_within_its_lease()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        group.isolate(leader);
        group.run_for(replica_settings{}.lease_duration);
        CPPUNIT_ASSERT(!group.may_act(leader));
        CPPUNIT_ASSERT(!group.log_of(leader).propose(any_message::of(test_command{1})));
        CPPUNIT_ASSERT(group.wait_for_leader(seconds(5)));
        CPPUNIT_ASSERT(group.acting_leader() != leader);
    }

    void a_frozen_leader_may_not_act_after_it_resumes()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        group.freeze(leader, seconds(10));
        group.run_for(seconds(9));
        CPPUNIT_ASSERT(group.acting_leader() != 0);
        CPPUNIT_ASSERT(group.acting_leader() != leader);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT(!group.may_act(leader));
    }

    void a_returning_isolated_replica_does_not_depose_the_leader()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const term = group.log_of(leader).term();
        group.isolate(group.follower());
        group.run_for(seconds(60));
        group.heal();
        group.run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        CPPUNIT_ASSERT(term == group.log_of(leader).term());
    }

    // Guards against CONFIG: no leader for good after a loss of power, since elections ended before
    // the disks had synced the votes, and each new one added writes.
    void a_leader_is_elected_after_a_loss_of_power_although_all_disks_are_slow()
    {
        for (auto const sync_delay : {100, 300, 700, 1500})
            for (std::size_t size : {3, 5})
            {
                running_group group(size);
                group.propose_many(3);
                for (std::uint32_t id = 1; id <= size; ++id)
                    group.kill(id);
                group.sync_delay = milliseconds(sync_delay);
                for (std::uint32_t id = 1; id <= size; ++id)
                    group.start(id);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(sync_delay) + " ms",
                                       group.wait_for_leader(recovery_time));
                for (std::uint64_t n = 1; n <= group.proposed; ++n)
                    CPPUNIT_ASSERT(group.has_value(group.acting_leader(), n));
            }
    }

    // Guards against the same where only the voters' disks are slow, so that the candidate cannot
    // tell from its own disk how long a vote takes.
    void an_election_waits_for_voters_whose_disks_are_slow()
    {
        running_group group(3);
        auto const lost = group.acting_leader();
        for (std::uint32_t id = 1; id <= 3; ++id)
            group.at(id).sync_delay = milliseconds(id == lost % 3 + 1 ? 2 : 2500);
        group.kill(lost);
        CPPUNIT_ASSERT(group.wait_for_leader(recovery_time));
    }

    // Guards against a pre-vote that is granted, waits for the disk, and begins an election against
    // the leader that was elected meanwhile.
    void a_pre_vote_is_answered_without_waiting_for_the_disk()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const candidate = leader % 3 + 1;
        auto const voter = 6 - leader - candidate;
        group.at(voter).sync_delay = seconds(10);
        CPPUNIT_ASSERT(group.propose(1));
        group.run_for(milliseconds(100));
        group.kill(leader);
        group.run_for(seconds(5));
        CPPUNIT_ASSERT(
            group.at(candidate).decision_core->services().require<replicated_log>().term() >
            term_id(2));
    }

    // Guards against leaders that step down in turn, since the others answer them only once their
    // disks have synced.
    void a_leader_is_kept_while_the_others_wait_for_their_disks()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        group.sync_delay = milliseconds(1500);
        CPPUNIT_ASSERT(group.propose(1));
        group.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        CPPUNIT_ASSERT(group.propose(2));
        group.run_for(seconds(4));
        CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, event_count(group, leader, "replica.not_leading"));
        for (std::uint32_t id = 1; id <= 3; ++id)
            CPPUNIT_ASSERT(group.has_value(id, 2));
    }

    // Guards against a group that stays one loss away from the end of its work: a voter counted as
    // working, and a joining instance as caught up, only if its disk had synced within 0.6 s.
    void a_voter_is_replaced_while_disks_are_slow_and_orders_go_on()
    {
        running_group group(3);
        auto const leaving = group.follower();
        auto const joining = group.add_instance();
        group.start(joining);
        group.run_for(seconds(1));
        group.kill(leaving);
        group.sync_delay = milliseconds(900);
        CPPUNIT_ASSERT(group.begin_replacement(
            {.leaving = instance_id(leaving), .joining = instance_id(joining)}, {}));
        auto const end = group.now() + recovery_time;
        while (group.now() < end && !group.votes(joining))
        {
            CPPUNIT_ASSERT(group.propose(++group.proposed));
            group.run_for(milliseconds(100));
        }
        CPPUNIT_ASSERT(group.votes(joining));
    }

    // Guards against voters that are replaced one after the other while all disks are equally slow:
    // one that answers for no moment within voters/replace_after counts as silent.
    void a_voter_whose_disk_is_slow_answers_while_orders_go_on()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const id = group.follower();
        group.sync_delay = milliseconds(900);
        constexpr seconds replace_after{2};
        auto answered_at = group.now();
        span longest{0};
        for (int n = 0; n != 200; ++n)
        {
            group.propose(++group.proposed);
            group.run_for(milliseconds(100));
            if (group.voters_of(leader).answers(instance_id(id)))
                answered_at = group.now();
            longest = std::max(longest, group.now() - answered_at);
        }
        CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        CPPUNIT_ASSERT(longest < span(replace_after));
    }

    // Guards against a group that stays one loss away from the end of its work: a joining instance
    // counts as caught up only if its disk synced within ten rounds.
    void a_voter_is_replaced_while_syncs_take_seconds_and_orders_go_on()
    {
        running_group group(3);
        auto const leaving = group.follower();
        auto const joining = group.add_instance();
        group.start(joining);
        group.run_for(seconds(1));
        group.kill(leaving);
        group.sync_delay = milliseconds(2500);
        CPPUNIT_ASSERT(group.begin_replacement(
            {.leaving = instance_id(leaving), .joining = instance_id(joining)}, {}));
        auto const end = group.now() + seconds(120);
        while (group.now() < end && !group.votes(joining))
        {
            group.propose(++group.proposed);
            group.run_for(milliseconds(500));
        }
        CPPUNIT_ASSERT(group.votes(joining));
    }

    // Guards against a group that has no leader for good: a voter whose disk was slow counted as
    // silent and left before its successor had joined, and the leader was lost then.
    void a_voter_whose_disk_is_slow_neither_counts_as_silent_nor_leaves_first()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const slow = group.follower();
        auto const joining = group.add_instance();
        group.start(joining);
        group.run_for(seconds(1));
        for (auto const id : {slow, joining})
            group.at(id).sync_delay = seconds(5);
        CPPUNIT_ASSERT(group.propose(++group.proposed));
        group.run_for(seconds(4));
        CPPUNIT_ASSERT(group.voters_of(leader).answers(instance_id(slow)));
        CPPUNIT_ASSERT(group.begin_replacement(
            {.leaving = instance_id(slow), .joining = instance_id(joining)}, {}));
        for (int n = 0; n != 300 && !group.votes(joining); ++n)
        {
            CPPUNIT_ASSERT(group.voters_of(leader).membership().voters.size() >= 3);
            group.run_for(milliseconds(100));
        }
        CPPUNIT_ASSERT(group.votes(joining));
    }

    void a_voter_whose_disk_hangs_does_not_answer()
    {
        running_group group(3);
        auto const hanging = group.follower();
        group.at(hanging).sync_delay = seconds(3600);
        CPPUNIT_ASSERT(group.propose(++group.proposed));
        group.run_for(seconds(11));
        CPPUNIT_ASSERT(!group.voters_of(group.acting_leader()).answers(instance_id(hanging)));
    }

    // Guards against a group that decides nothing for good: a leader whose disk hangs is confirmed
    // by the one replica that it reaches, and does not reach the other one, while these two could
    // decide.
    void a_leader_that_cannot_commit_gives_way_to_one_that_can()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const unreached = group.follower();
        group.at(leader).sync_delay = seconds(3600);
        group.set_link_cut(leader, unreached, true);
        group.set_link_cut(unreached, leader, true);
        auto const is_decided = [&]
        {
            group.propose(++group.proposed);
            group.run_for(seconds(1));
            return group.has_value(unreached, group.proposed);
        };
        bool decided = false;
        for (int n = 0; n != 120 && !decided; ++n)
            decided = is_decided();
        CPPUNIT_ASSERT(decided);
    }

    // Guards against a group that decides nothing for good: a leader is confirmed by voters whose
    // disks hang, and cannot commit, while another replica reaches a majority that can.
    void a_leader_of_voters_whose_disks_hang_gives_way()
    {
        running_group group(5);
        auto const leader = group.acting_leader();
        std::vector<std::uint32_t> others;
        for (std::uint32_t id = 1; id <= 5; ++id)
            if (id != leader)
                others.push_back(id);
        for (auto const hanging : {others[0], others[1]})
            group.at(hanging).sync_delay = seconds(3600);
        group.set_link_cut(leader, others[2], true);
        group.set_link_cut(others[2], leader, true);
        bool decided = false;
        for (int n = 0; n != 120 && !decided; ++n)
        {
            group.propose(++group.proposed);
            group.run_for(seconds(1));
            decided = group.has_value(others[3], group.proposed);
        }
        CPPUNIT_ASSERT(decided);
    }

    // Guards against a slow disk that loads the network: each heartbeat sends the piece again,
    // since it takes the reply that waits for the disk for a lost one.
    void a_snapshot_is_not_sent_again_while_its_receiver_syncs()
    {
        running_group group(3, {.snapshot_threshold = 10});
        auto const leader = group.acting_leader();
        auto const id = group.follower();
        group.kill(id);
        group.propose_many(50);
        group.at(id).sync_delay = seconds(3);
        group.start(id);
        auto const is_installed = [&]
        { return event_count(group, id, "replica.snapshot_installed") > 0; };
        CPPUNIT_ASSERT(group.run_until(is_installed, seconds(30)));
        auto const pieces_sent = [&]
        { return group.at(leader).counters.value(replica_events::pieces_sent); };
        auto const before = pieces_sent();
        group.run_for(milliseconds(2900));
        CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        CPPUNIT_ASSERT_LESSEQUAL(before + 1, pieces_sent());
    }

    void a_replica_gets_no_vote_while_the_leader_reaches_others()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const term = group.log_of(leader).term();
        group.set_link_cut(leader, group.follower(), true);
        group.run_for(seconds(30));
        CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        CPPUNIT_ASSERT(term == group.log_of(leader).term());
    }

    void a_replica_with_a_failed_disk_neither_votes_nor_leads()
    {
        running_group group(3);
        auto const leader = group.acting_leader();
        auto const other = group.follower();
        group.fail_disk(leader);
        CPPUNIT_ASSERT(!group.may_act(leader));
        CPPUNIT_ASSERT(event_count(group, leader, "replica.disk_failed") == 1);
        CPPUNIT_ASSERT(group.wait_for_leader());
        // Of the two other replicas one is stopped; the failed one does not vote, so there is no
        // majority.
        group.kill(group.acting_leader() == other ? 6 - leader - other : other);
        group.run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(0U, group.acting_leader());
    }

    // Guards against CONFIG: a replica whose disk had been full stayed without a vote when it had
    // room again, so that two disks that were full in turn ended the control group's work.
    void disks_that_were_full_in_turn_cost_no_voter()
    {
        for (bool const snapshots : {false, true})
        {
            running_group group(3, {.snapshot_threshold = snapshots ? 4 : 1000});
            for (int n = 0; n != 4; ++n)
            {
                group.propose_many(5);
                auto const leader = group.acting_leader();
                group.fail_disk(leader);
                CPPUNIT_ASSERT(group.wait_for_leader());
                group.propose_many(5);
                group.mend_disk(leader);
                group.run_for(seconds(1));
                CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                                     event_count(group, leader, "replica.disk_restored"));
                group.at(leader).events.names.clear();
            }
            auto const last = group.proposed;
            for (std::uint32_t id = 1; id != 4; ++id)
            {
                CPPUNIT_ASSERT(group.has_value(id, last));
                group.kill(id);
            }
            for (std::uint32_t id = 1; id != 4; ++id)
                group.start(id);
            CPPUNIT_ASSERT(group.wait_for_leader());
            group.run_for(seconds(1));
            for (std::uint32_t id = 1; id != 4; ++id)
                for (std::uint64_t value = 1; value <= last; ++value)
                    CPPUNIT_ASSERT(group.has_value(id, value));
        }
    }

    // Guards against a replica that stays stopped since its disk failed again before the whole
    // state was written.
    void a_disk_that_fails_while_it_is_restored_is_restored_later()
    {
        running_group group(3);
        group.propose_many(5);
        auto const id = group.follower();
        group.fail_disk(id);
        group.propose_many(5);
        group.mend_disk(id);
        group.run_until([&] { return group.at(id).disk.unsynced() != 0; }, seconds(1));
        group.fail_disk(id);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, event_count(group, id, "replica.disk_restored"));
        group.mend_disk(id);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, event_count(group, id, "replica.disk_restored"));
        CPPUNIT_ASSERT(group.has_value(id, 10));
    }

    // Guards against a replica that takes part with a new identity, or never, since its disk could
    // not be read when the process started.
    void a_disk_that_could_not_be_read_at_the_start_is_read_later()
    {
        running_group group(3);
        group.propose_many(5);
        auto const id = group.follower();
        auto const disk = group.at(id).disk.contents().state.disk;
        group.kill(id);
        group.start_unreadable(id);
        group.propose_many(5);
        CPPUNIT_ASSERT(!group.has_value(id, 1));
        group.mend_disk(id);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT(group.has_value(id, 10));
        CPPUNIT_ASSERT(group.votes(id));
        CPPUNIT_ASSERT(disk == group.at(id).disk.contents().state.disk);
    }

    void a_blank_disk_regains_its_vote_automatically()
    {
        running_group group(3);
        group.propose_many(5);
        auto const id = group.follower();
        group.replace_disk(id);
        CPPUNIT_ASSERT(group.wait_for_vote(id));
        CPPUNIT_ASSERT(group.has_value(id, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.members().members.size());
    }

    void a_blank_disk_gets_no_vote_before_it_has_caught_up()
    {
        running_group group(3, {.max_append_entries = 1});
        group.propose_many(100);
        auto const id = group.follower();
        group.replace_disk(id);
        CPPUNIT_ASSERT(group.wait_for_vote(id));
        CPPUNIT_ASSERT(group.has_value(id, 100));
    }

    void a_blank_replica_grants_no_vote()
    {
        running_group group(3);
        group.propose_many(5);
        auto const leader = group.acting_leader();
        group.kill(leader);
        auto const other = leader == 1 ? 2U : 1U;
        group.replace_disk(other);
        group.run_for(seconds(60));
        CPPUNIT_ASSERT_EQUAL(0U, group.acting_leader());
        group.start(leader);
        CPPUNIT_ASSERT(group.wait_for_leader());
        CPPUNIT_ASSERT(group.wait_for_vote(other));
        CPPUNIT_ASSERT(group.has_value(other, 5));
    }

    void a_second_disk_loss_after_a_repair_loses_no_value()
    {
        running_group group(3);
        group.propose_many(20);
        auto const first = group.follower();
        group.replace_disk(first);
        CPPUNIT_ASSERT(group.wait_for_vote(first));
        auto const second = group.acting_leader();
        group.replace_disk(second);
        CPPUNIT_ASSERT(group.wait_for_leader());
        CPPUNIT_ASSERT(group.wait_for_vote(second));
        for (auto const id : {1U, 2U, 3U})
            for (std::uint64_t value = 1; value <= 20; ++value)
                CPPUNIT_ASSERT(group.has_value(id, value));
    }

    void a_copied_disk_gets_a_new_disk_id()
    {
        running_group group(3);
        auto const id = group.follower();
        auto copy = group.at(id).disk.contents();
        auto const identity = copy.state.disk;
        copy.copied = true;
        group.propose_many(5);
        group.kill(id);
        group.at(id).disk.replace_contents(copy);
        group.start(id);
        group.run_for(milliseconds(10)); // Until the new disk id is synced.
        CPPUNIT_ASSERT(group.wait_for_vote(id));
        CPPUNIT_ASSERT(identity != group.at(id).disk.contents().state.disk);
    }

    void the_leader_detects_a_disk_that_lost_acknowledged_entries()
    {
        running_group group(3);
        auto const id = group.follower();
        auto const image = group.at(id).disk.contents();
        group.propose_many(5);
        group.kill(id);
        group.at(id).disk.replace_contents(image);
        group.start(id);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT(event_count(group, id, "replica.disk_outdated") == 1);
        CPPUNIT_ASSERT(group.wait_for_vote(id));
        CPPUNIT_ASSERT(image.state.disk != group.at(id).disk.contents().state.disk);
    }

    void a_lagging_replica_installs_a_snapshot()
    {
        running_group group(3, {.snapshot_threshold = 10});
        auto const id = group.follower();
        group.kill(id);
        group.propose_many(50);
        group.start(id);
        group.run_for(seconds(5));
        CPPUNIT_ASSERT(event_count(group, id, "replica.snapshot_installed") > 0);
        CPPUNIT_ASSERT(group.has_value(id, 1));
        CPPUNIT_ASSERT(group.has_value(id, 50));
    }

    void one_command_replaces_an_instance() { replace_instance(false); }
    void one_command_replaces_the_leader() { replace_instance(true); }

    void a_repeated_replacement_gets_the_same_answer()
    {
        running_group group(3);
        auto const id = group.follower();
        auto const joining = group.add_instance();
        auto const command = replacement_of(id, joining);
        for (int n = 0; n != 2; ++n)
        {
            auto const reply = group.answer_to<member_replaced>(group.acting_leader(), command);
            CPPUNIT_ASSERT(replace_refusal::none == reply.refusal);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group.members().pending.size());
        }
        group.start(joining);
        CPPUNIT_ASSERT(group.wait_for_vote(joining));
        auto const reply = group.answer_to<member_replaced>(group.acting_leader(), command);
        CPPUNIT_ASSERT(replace_refusal::none == reply.refusal);
        CPPUNIT_ASSERT(group.members().settled);
    }

    // Guards against the loss of the whole group: a silent voter that was to be replaced was
    // back when the third one lost its disk. The leader removed the first one nevertheless, and
    // the two that remained needed the lost disk for each decision, also for taking it out.
    void a_voter_is_kept_while_the_other_ones_form_no_majority()
    {
        running_group group(3);
        group.propose_many(5);
        auto const leader = group.acting_leader();
        auto const leaving = group.follower();
        auto const third = 6 - leader - leaving;
        auto const joining = group.add_instance();
        auto const reply =
            group.answer_to<member_replaced>(leader, replacement_of(leaving, joining));
        CPPUNIT_ASSERT(replace_refusal::none == reply.refusal);
        group.kill(third);
        group.start(joining);
        group.run_for(seconds(5));
        CPPUNIT_ASSERT_MESSAGE("the group still has a leader", group.acting_leader() != 0);
        group.replace_disk(third);
        CPPUNIT_ASSERT(group.wait_for_vote(third));
        CPPUNIT_ASSERT(group.wait_for_vote(joining));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.members().members.size());
        CPPUNIT_ASSERT(group.has_value(third, 5) && group.has_value(joining, 5));
    }

    // Guards against CONFIG: the replacement of a voter was lost itself; it stayed pending and
    // blocked all further changes, so that the next loss ended the group's work.
    void a_replacement_that_is_lost_can_be_given_up_for_another()
    {
        running_group group(3);
        group.propose_many(5);
        auto const leader = group.acting_leader();
        auto const leaving = group.follower();
        auto const third = 6 - leader - leaving;
        auto const lost = group.add_instance();
        auto const joining = group.add_instance();
        group.kill(leaving);
        replacement const first{.leaving = instance_id(leaving), .joining = instance_id(lost)};
        replacement const second{.leaving = instance_id(leaving), .joining = instance_id(joining)};
        CPPUNIT_ASSERT(group.begin_replacement(first, {}));
        group.run_for(seconds(1));
        CPPUNIT_ASSERT(!group.voters_of(leader).answers(instance_id(lost)));
        CPPUNIT_ASSERT_MESSAGE("still under way", !group.begin_replacement(second, {}));
        CPPUNIT_ASSERT(group.begin_replacement(second, {first}));
        group.start(joining);
        CPPUNIT_ASSERT(group.wait_for_vote(joining));
        CPPUNIT_ASSERT(group.voters_of(leader).answers(instance_id(joining)));
        group.kill(third);
        group.run_for(seconds(5));
        CPPUNIT_ASSERT_MESSAGE("bears the next loss", group.acting_leader() != 0);
    }

    // Guards against a group that stays one voter short: the instance that joined was lost while it
    // took the place of the voter that had been removed for it.
    void a_replacement_that_is_lost_while_it_joins_is_replaced_itself()
    {
        running_group group(3);
        group.propose_many(5);
        auto const leader = group.acting_leader();
        auto const leaving = group.follower();
        auto const lost = group.add_instance();
        auto const joining = group.add_instance();
        group.kill(leaving);
        group.start(lost);
        auto const members = [&] { return group.voters_of(leader).membership(); };
        CPPUNIT_ASSERT(group.begin_replacement(
            {.leaving = instance_id(leaving), .joining = instance_id(lost)}, {}));
        CPPUNIT_ASSERT(group.run_until(
            [&] { return members().find(instance_id(leaving)) == nullptr; }, seconds(5)));
        group.kill(lost);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT(members().find(instance_id(lost)) != nullptr);
        CPPUNIT_ASSERT(members().pending.empty());
        CPPUNIT_ASSERT(!group.voters_of(leader).answers(instance_id(lost)));
        CPPUNIT_ASSERT(group.begin_replacement(
            {.leaving = instance_id(lost), .joining = instance_id(joining)}, {}));
        group.start(joining);
        CPPUNIT_ASSERT(group.wait_for_vote(joining));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, members().voters.size());
        CPPUNIT_ASSERT(members().find(instance_id(lost)) == nullptr);
    }

    void a_follower_redirects_a_replacement_to_the_leader()
    {
        running_group group(3);
        auto const reply = group.answer_to<member_replaced>(group.follower(), replacement_of(1, 4));
        CPPUNIT_ASSERT(replace_refusal::not_leader == reply.refusal);
        CPPUNIT_ASSERT(reply.leader == instance_id(group.acting_leader()));
    }

    void a_restart_keeps_five_hundred_changes()
    {
        running_group group(1);
        group.propose_many(500);
        group.kill(1);
        group.start(1);
        group.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(1U, group.acting_leader());
        CPPUNIT_ASSERT_EQUAL(std::size_t{500}, group.recorder_of(1).state.values.size());
    }

private:
    static any_message replacement_of(std::uint32_t leaving, std::uint32_t joining)
    {
        return any_message::of(
            replace_member{.leaving = instance_id(leaving), .joining = instance_id(joining)});
    }

    static void replace_instance(bool leader)
    {
        running_group group(3);
        group.propose_many(5);
        auto const leaving = leader ? group.acting_leader() : group.follower();
        auto const joining = group.add_instance();
        group.start(joining);
        auto const reply = group.answer_to<member_replaced>(group.acting_leader(),
                                                            replacement_of(leaving, joining));
        CPPUNIT_ASSERT(replace_refusal::none == reply.refusal);
        CPPUNIT_ASSERT(group.wait_for_vote(joining));
        CPPUNIT_ASSERT(!group.votes(leaving));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.members().members.size());
        CPPUNIT_ASSERT(group.has_value(joining, 5));
        group.kill(leaving);
        group.propose_many(5);
        CPPUNIT_ASSERT(group.has_value(joining, 10));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace

} // namespace mulberryrudder::control::testing
