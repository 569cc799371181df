#include "fake_group.hpp"

#include <plugins/control/replica/replica_events.hpp>

#include <mulberryrudder/control/command_size.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint64_t seed = 20261208;
/// A plan of 1,400 routes.
constexpr byte_count large_command{600'000};
/// Time between two changes of the plan in a series.
constexpr milliseconds change_interval{300};

std::uint64_t counter(fake_group& group, std::uint32_t id, kernel::counter_kind const& kind)
{
    return group.at(id).counters.value(kind);
}

/// A group with a leader whose log takes large commands.
class long_log_group : public fake_group
{
public:
    explicit long_log_group(replica_settings config) : fake_group(3, seed, config)
    {
        for (std::uint32_t id = 1; id <= size(); ++id)
            start(id);
        CPPUNIT_ASSERT(run_until([this] { return acting_leader() != 0; }, seconds(20)));
        run_for(seconds(1));
    }

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

    std::uint32_t follower() { return acting_leader() == 1 ? 2 : 1; }

    std::uint64_t proposed = 0;
    std::uint64_t most_log_bytes = 0; ///< Of one instance, after any interval so far.
};

class long_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(long_log_test);
    CPPUNIT_TEST(entries_are_not_sent_again_while_they_are_under_way);
    CPPUNIT_TEST(lost_entries_are_sent_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leader whose memory fills with messages: each heartbeat sent all entries
    // again to an instance that had not answered yet.
    void entries_are_not_sent_again_while_they_are_under_way()
    {
        long_log_group group({});
        auto const id = group.follower();
        group.freeze(id, seconds(3));
        group.propose_series(8, large_command);
        CPPUNIT_ASSERT(group.bytes_sent < byte_count(2 * 8 * large_command.count()));
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_log_test);

} // namespace

} // namespace mulberryrudder::control::testing
