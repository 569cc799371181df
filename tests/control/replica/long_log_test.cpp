#include "running_group.hpp"

#include <plugins/control/replica/replica_events.hpp>

#include <mulberryrudder/control/command_size.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::control::testing
{

namespace
{

/// A plan of 1,400 routes.
constexpr byte_count large_command{600'000};
/// Time between two changes of the plan in a series.
constexpr milliseconds change_interval{300};
/// What the link and the processor of a small machine carry.
constexpr bytes_per_second small_link{16'000'000};
/// Time after which an instance with a blank disk may no longer count as lost.
constexpr seconds catch_up_limit{4};

std::uint64_t counter(fake_group& group, std::uint32_t id, kernel::counter_kind const& kind)
{
    return group.at(id).counters.value(kind);
}

/// A group of three whose log takes large commands.
class long_log_group : public running_group
{
public:
    explicit long_log_group(replica_settings config) : running_group(3, config) {}

    /// Proposes commands at regular intervals until `done` returns true or `count` were proposed;
    /// returns the last result of `done`.
    bool propose_series(int count, byte_count size, std::function<bool()> const& done = {})
    {
        for (int n = 0; n != count && !(done && done()); ++n)
        {
            CPPUNIT_ASSERT(propose(++proposed, size));
            run_for(change_interval);
            for (std::uint32_t id = 1; id <= this->size(); ++id)
                most_log_bytes =
                    std::max(most_log_bytes, counter(*this, id, replica_events::log_bytes));
        }
        return done && done();
    }

    /// Replaces a follower's disk by a blank one; returns the follower.
    std::uint32_t replace_follower_disk()
    {
        auto const id = follower();
        replace_disk(id);
        return id;
    }

    std::uint64_t most_log_bytes = 0; ///< Of one instance, after any interval so far.
};

class long_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(long_log_test);
    CPPUNIT_TEST(a_blank_disk_gets_a_vote_behind_many_large_commands);
    CPPUNIT_TEST(large_commands_keep_the_log_short);
    CPPUNIT_TEST(entries_are_not_sent_again_while_they_are_under_way);
    CPPUNIT_TEST(lost_entries_are_sent_again);
    CPPUNIT_TEST(entries_that_cannot_be_committed_do_not_fill_the_memory);
    CPPUNIT_TEST(a_snapshot_arrives_although_newer_ones_are_taken);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against CONFIG: control instances that are replaced one after the other did not get a
    // vote in time behind a log of many large plans, until no majority was left.
    void a_blank_disk_gets_a_vote_behind_many_large_commands()
    {
        long_log_group group(
            {.election_timeout = milliseconds(700), .lease_duration = milliseconds(700)});
        group.network.bandwidth = small_link;
        group.propose_series(90, large_command);
        auto const leader = group.acting_leader();
        for (int n = 0; n != 3; ++n)
        {
            auto const id = group.replace_follower_disk();
            auto const deadline = group.now() + catch_up_limit;
            CPPUNIT_ASSERT(
                group.propose_series(100, large_command, [&] { return group.votes(id); }));
            CPPUNIT_ASSERT(group.now() <= deadline);
            CPPUNIT_ASSERT_EQUAL(leader, group.acting_leader());
        }
    }

    // Guards against control instances that exceed their memory together: the log kept every plan
    // until a number of entries, whatever their size.
    void large_commands_keep_the_log_short()
    {
        replica_settings const config;
        long_log_group group(config);
        group.propose_series(90, large_command);
        auto const allowed = 2 * (config.snapshot_bytes + large_command.count());
        CPPUNIT_ASSERT(group.most_log_bytes <= static_cast<std::uint64_t>(allowed));
        // A start reads back one snapshot and the entries behind it.
        for (std::uint32_t id = 1; id <= group.size(); ++id)
        {
            std::int64_t held = 0;
            for (auto const& it : group.at(id).disk.contents().entries)
                held += memory_size(it.command).count();
            CPPUNIT_ASSERT(held <= config.snapshot_bytes + large_command.count());
        }
    }

    // Guards against a leader whose memory fills with messages: each heartbeat sent all entries
    // again to an instance that had not answered yet.
    void entries_are_not_sent_again_while_they_are_under_way()
    {
        long_log_group group({});
        auto const id = group.follower();
        group.freeze(id, seconds(3));
        constexpr int changes = 8;
        group.propose_series(changes, large_command);
        CPPUNIT_ASSERT(group.bytes_sent <
                       byte_count(std::int64_t{2} * changes * large_command.count()));
        group.run_for(seconds(2));
        CPPUNIT_ASSERT(group.has_value(id, group.proposed));
    }

    void lost_entries_are_sent_again()
    {
        long_log_group group({});
        auto const id = group.follower();
        auto const leader = group.acting_leader();
        group.set_link_cut(leader, id, true);
        CPPUNIT_ASSERT(group.propose(++group.proposed));
        group.run_for(milliseconds(100));
        group.set_link_cut(leader, id, false);
        // Two heartbeats: the first one's reply shows the loss.
        group.run_for(milliseconds(400));
        CPPUNIT_ASSERT(group.has_value(id, group.proposed));
    }

    // Guards against a leader whose memory fills while the disks of the voters hang.
    void entries_that_cannot_be_committed_do_not_fill_the_memory()
    {
        replica_settings const config;
        long_log_group group(config);
        group.sync_delay = seconds(8);
        auto const leader = group.acting_leader();
        for (int n = 0; n != 50; ++n)
        {
            group.propose(++group.proposed, large_command);
            group.run_for(milliseconds(100));
        }
        auto const allowed = 2 * (config.snapshot_bytes + large_command.count());
        CPPUNIT_ASSERT(counter(group, leader, replica_events::log_bytes) <=
                       static_cast<std::uint64_t>(allowed));
        group.sync_delay = milliseconds(2);
        group.run_for(seconds(30));
        CPPUNIT_ASSERT(group.propose(++group.proposed, large_command));
    }

    // Guards against a transfer without end: a newer snapshot took the place of the one whose
    // pieces were under way, and the receiver began anew each time.
    void a_snapshot_arrives_although_newer_ones_are_taken()
    {
        // The first piece takes a second, and a snapshot is taken every 0.9 s.
        constexpr byte_count first_piece{small_link.count()};
        constexpr byte_count second_piece{100'000};
        long_log_group group({.snapshot_threshold = 3});
        for (std::uint32_t id = 1; id <= group.size(); ++id)
            group.at(id).decision_core->services().require<padding>().size = second_piece;
        group.propose_series(8, first_piece);
        group.network.bandwidth = small_link;
        auto const id = group.replace_follower_disk();
        CPPUNIT_ASSERT(group.propose_series(30, byte_count(8), [&] { return group.votes(id); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_log_test);

} // namespace

} // namespace mulberryrudder::control::testing
