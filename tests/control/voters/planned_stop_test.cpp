#include "tests/control/replica/fake_group.hpp"

#include <mulberryrudder/control/roster.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace mulberryrudder::control::testing
{

namespace
{

/// Bounds of the platform: time after a planned stop after which the process is killed, and time
/// within which service is expected after all machines are back.
constexpr seconds grace{6};
constexpr seconds recovery{15};
/// Time within which the voters that a group needs have joined after its start.
constexpr seconds settling_time{5};
/// Time without a leader that two elections in succession take at most.
constexpr seconds max_gap{4};
constexpr std::uint32_t seeds = 3;

/// Fake roster: an instance is reachable if one of its messages arrived lately.
class fake_roster final : public component, public roster_view
{
public:
    explicit fake_roster(component_parts const& parts)
    {
        parts.services.provide<roster_view>(*this);
    }

    void received(envelope const& message, context& ctx) override
    {
        last_heard_[message.from] = ctx.now;
    }

    std::vector<version_id> versions_of(service_id const&) const override { return {}; }
    slots capacity_of(service_id const&, version_id const&) const override { return {}; }
    std::vector<messages::entry_notice> entry_notices() const override { return {}; }
    std::vector<instance_description> control_since(instant since) const override
    {
        std::vector<instance_description> out;
        for (auto const& [id, at] : last_heard_)
            if (at >= since)
                out.push_back({.id = id, .region = {}, .domain = {}, .peer = {}, .caller = {}});
        return out;
    }
    std::optional<instant> control_last_heard(instance_id id) const override
    {
        auto const found = last_heard_.find(id);
        return found == last_heard_.end() ? std::nullopt : std::optional(found->second);
    }

private:
    std::map<instance_id, instant> last_heard_;
};

component_registrar<fake_roster> const registered{"fake_roster", component_order::roster};

class planned_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(a_planned_stop_and_then_the_loss_of_a_disk_leave_a_leader);
    CPPUNIT_TEST(a_removed_instance_and_the_loss_of_a_disk_leave_a_leader);
    CPPUNIT_TEST(instances_that_are_stopped_and_started_in_turn_leave_a_leader);
    CPPUNIT_TEST(two_planned_stops_at_once_leave_a_leader);
    CPPUNIT_TEST(the_leader_hands_over_before_its_lease_could_end);
    CPPUNIT_TEST(a_leader_that_hears_nobody_for_a_moment_stops_without_leaving_a_vote_behind);
    CPPUNIT_TEST(a_planned_stop_waits_for_a_successor_that_is_silent_for_a_moment);
    CPPUNIT_TEST(an_instance_that_lost_its_vote_while_it_was_down_stops_at_once);
    CPPUNIT_TEST(a_vote_goes_to_no_instance_that_stopped_as_planned);
    CPPUNIT_TEST(a_planned_stop_does_not_wait_for_a_successor_that_does_not_exist);
    CPPUNIT_TEST(a_planned_stop_ends_without_a_leader);
    CPPUNIT_TEST(planned_stops_of_all_instances_at_once_end);
    CPPUNIT_TEST(a_planned_stop_ends_before_the_disk_was_read);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against CONFIG: a voter that was stopped as planned left its vote behind for two
    // seconds. A loss of all power with one disk then took a second voter of three, and the group
    // had no leader any more.
    void a_planned_stop_and_then_the_loss_of_a_disk_leave_a_leader()
    {
        for_each_pair(
            [this](std::uint32_t stopped, std::uint32_t blank)
            {
                start_group(4);
                stop(stopped);
                lose_power_and_disk(stopped, blank);
                expect_recovery(stopped, blank);
            });
    }

    // Guards against CONFIG: an instance was removed once its successor had run for long enough
    // not to count as a loss, and a disk was lost before its vote had passed on.
    void a_removed_instance_and_the_loss_of_a_disk_leave_a_leader()
    {
        for_each_pair(
            [this](std::uint32_t removed, std::uint32_t blank)
            {
                start_group(6);
                group_->kill(removed);
                lose_power_and_disk(removed, blank);
                expect_recovery(removed, blank);
            });
    }

    // Guards against CONFIG: votes that pile up at instances that are down while machines are
    // stopped and started in turn.
    void instances_that_are_stopped_and_started_in_turn_leave_a_leader()
    {
        for (std::uint32_t size = 4; size <= 6; ++size)
        {
            start_group(size);
            for (std::uint32_t id = 1; id <= size; ++id)
            {
                stop(id);
                CPPUNIT_ASSERT(group_->run_until([this] { return has_leader(); }, max_gap));
                group_->start(id);
                group_->run_for(milliseconds(300));
            }
            CPPUNIT_ASSERT(group_->run_until([this] { return has_leader(); }, max_gap));
            lose_power_and_disk(0, 2);
            expect_recovery(0, 2);
        }
    }

    // Guards against the same by two stops that overlap, one of them of the leader.
    void two_planned_stops_at_once_leave_a_leader()
    {
        for_each_pair(
            [this](std::uint32_t first, std::uint32_t second)
            {
                start_group(6);
                group_->request_stop(first);
                group_->request_stop(second);
                auto const have_ended = [=, this]
                { return !group_->is_up(first) && !group_->is_up(second); };
                CPPUNIT_ASSERT(group_->run_until(have_ended, grace));
                CPPUNIT_ASSERT(group_->run_until([this] { return has_leader(); }, max_gap));
                lose_power_and_disk(first, 4);
                expect_recovery(first, 4);
            });
    }

    // Guards against orders without an answer at each planned stop: without a hand-over, nobody can
    // be elected before the lease of the leader that stopped has ended.
    void the_leader_hands_over_before_its_lease_could_end()
    {
        for (std::uint32_t size = 3; size <= 6; ++size)
        {
            start_group(size);
            auto const leader = group_->acting_leader();
            group_->request_stop(leader);
            auto const has_handed_over = [=, this] { return !group_->may_act(leader); };
            CPPUNIT_ASSERT(group_->run_until(has_handed_over, seconds(1)));
            auto const gap_begin = group_->now();
            CPPUNIT_ASSERT(group_->run_until([this] { return has_leader(); }, max_gap));
            CPPUNIT_ASSERT(group_->now() - gap_begin < replica_settings().lease_duration / 2);
            CPPUNIT_ASSERT_MESSAGE("it ends after that", group_->is_up(leader));
            CPPUNIT_ASSERT(
                group_->run_until([this, leader] { return !group_->is_up(leader); }, grace));
        }
    }

    // Guards against CONFIG: a leader that heard no voter for three heartbeats, while its lease
    // still held, passed for one without another voter, and stopped with its vote and the lead.
    void a_leader_that_hears_nobody_for_a_moment_stops_without_leaving_a_vote_behind()
    {
        for (auto const outage : {milliseconds(500), milliseconds(650), milliseconds(800)})
        {
            start_group(4);
            auto const leader = group_->acting_leader();
            group_->isolate(leader);
            group_->run_for(outage);
            group_->request_stop(leader);
            group_->run_for(milliseconds(100));
            group_->heal();
            CPPUNIT_ASSERT(
                group_->run_until([this, leader] { return !group_->is_up(leader); }, grace));
            auto const blank = leader == 1 ? 2U : 1U;
            lose_power_and_disk(leader, blank);
            expect_recovery(leader, blank);
        }
    }

    // Guards against CONFIG: the only instance that could take a vote over had just started, and
    // passed for one that does not exist.
    void a_planned_stop_waits_for_a_successor_that_is_silent_for_a_moment()
    {
        start_group(4);
        group_->freeze(4, milliseconds(1500));
        group_->run_for(milliseconds(1200));
        stop(1);
        lose_power_and_disk(1, 2);
        expect_recovery(1, 2);
    }

    // Guards against a stop that takes its whole time, and a warning of a lost vote: an instance
    // whose vote had passed on took itself for a voter after its restart, and knew no leader to
    // ask.
    void an_instance_that_lost_its_vote_while_it_was_down_stops_at_once()
    {
        for (std::uint32_t id = 1; id <= seeds; ++id)
        {
            start_group(4);
            // The others are told of the last change, which takes its vote, before it has synced
            // the one before.
            group_->at(id).sync_delay = milliseconds(150);
            stop(id);
            group_->start(id);
            group_->run_for(seconds(3));
            expect_prompt_stop(id);
        }
    }

    // Guards against votes that are left behind: an instance without a vote stopped without a word,
    // and was still to take over that of the next one.
    void a_vote_goes_to_no_instance_that_stopped_as_planned()
    {
        for (std::uint32_t stopped = 1; stopped <= 7; ++stopped)
        {
            start_group(7);
            if (is_voter(stopped))
                continue;
            // The new process has heard of no leader.
            group_->kill(stopped);
            group_->start(stopped);
            group_->run_for(milliseconds(300));
            expect_prompt_stop(stopped);
            expect_prompt_stop(1);
            group_->run_for(milliseconds(100));
            CPPUNIT_ASSERT(!is_voter(1) && !is_voter(stopped));
        }
    }

    void a_planned_stop_does_not_wait_for_a_successor_that_does_not_exist()
    {
        start_group(3);
        for (std::uint32_t id = 1; id <= 3; ++id)
        {
            group_->request_stop(id);
            CPPUNIT_ASSERT(group_->run_until([=, this] { return !group_->is_up(id); }, seconds(1)));
            group_->start(id);
            CPPUNIT_ASSERT(group_->run_until([this] { return has_leader(); }, max_gap));
            group_->run_for(seconds(1));
        }
    }

    void a_planned_stop_ends_without_a_leader()
    {
        start_group(3);
        group_->kill(1);
        group_->kill(2);
        group_->run_for(seconds(2));
        stop(3);
    }

    // Guards against a lead that is handed around between instances that all stop.
    void planned_stops_of_all_instances_at_once_end()
    {
        for (std::uint32_t size = 1; size <= 6; ++size)
        {
            start_group(size);
            for (std::uint32_t id = 1; id <= size; ++id)
                group_->request_stop(id);
            auto const have_ended = [this]
            {
                bool is_any_up = false;
                for (std::uint32_t id = 1; id <= group_->size(); ++id)
                    is_any_up = is_any_up || group_->is_up(id);
                return !is_any_up;
            };
            CPPUNIT_ASSERT(group_->run_until(have_ended, grace));
        }
    }

    void a_planned_stop_ends_before_the_disk_was_read()
    {
        start_group(3);
        group_->kill(1);
        group_->start_unreadable(1);
        stop(1);
    }

private:
    /// Calls a function with each two seeds.
    template <class Function>
    static void for_each_pair(Function const& call)
    {
        for (std::uint32_t first = 1; first <= seeds; ++first)
            for (std::uint32_t second = 1; second <= seeds; ++second)
                if (first != second)
                    call(first, second);
    }

    /// Starts a group of three seeds and other instances, and waits until its voters have joined.
    void start_group(std::uint32_t size)
    {
        group_ = std::make_unique<fake_group>(std::min(seeds, size), 20261207);
        while (group_->size() < size)
            group_->add_instance();
        for (std::uint32_t id = 1; id <= size; ++id)
            group_->start(id);
        CPPUNIT_ASSERT(group_->run_until([this] { return has_leader(); }, seconds(20)));
        group_->run_for(settling_time);
        CPPUNIT_ASSERT(group_->propose(last_value));
        group_->run_for(seconds(1));
    }

    bool has_leader() { return group_->acting_leader() != 0; }

    /// Stops an instance as planned, and waits until its process has ended.
    void stop(std::uint32_t id)
    {
        group_->request_stop(id);
        CPPUNIT_ASSERT(group_->run_until([this, id] { return !group_->is_up(id); }, grace));
    }

    /// Stops an instance as planned, and expects that it ends with a permission and in time.
    void expect_prompt_stop(std::uint32_t id)
    {
        group_->request_stop(id);
        auto const has_ended = [this, id] { return !group_->is_up(id); };
        CPPUNIT_ASSERT_MESSAGE(std::to_string(id), group_->run_until(has_ended, seconds(2)));
        auto const& events = group_->at(id).events.names;
        CPPUNIT_ASSERT(std::find(events.begin(), events.end(), "voters.stop_unfinished") ==
                       events.end());
    }

    /// Returns whether an instance has a vote. Precondition: there is a leader.
    bool is_voter(std::uint32_t id)
    {
        auto const& leader = group_->at(group_->acting_leader());
        auto const& group = leader.decision_core->services().require<voter_group>();
        return group.membership().find(instance_id(id)) != nullptr;
    }

    /// Kills all instances at once, and starts all but one again, one of them with a blank disk.
    void lose_power_and_disk(std::uint32_t removed, std::uint32_t blank)
    {
        for (std::uint32_t id = 1; id <= group_->size(); ++id)
            if (group_->is_up(id))
                group_->kill(id);
        group_->at(blank).disk.replace_contents({});
        group_->run_for(seconds(1));
        for (std::uint32_t id = 1; id <= group_->size(); ++id)
            if (id != removed)
                group_->start(id);
    }

    void expect_recovery(std::uint32_t removed, std::uint32_t blank)
    {
        auto const name =
            std::to_string(removed) + " is gone, the disk of " + std::to_string(blank) + " is lost";
        CPPUNIT_ASSERT_MESSAGE(name, group_->run_until([this] { return has_leader(); }, recovery));
        CPPUNIT_ASSERT_MESSAGE(name, group_->has_value(group_->acting_leader(), last_value));
    }

    static constexpr std::uint64_t last_value = 7;
    std::unique_ptr<fake_group> group_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace

} // namespace mulberryrudder::control::testing
