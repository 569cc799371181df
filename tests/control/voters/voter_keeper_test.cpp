#include "tests/control/support/replica.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/messages/replica.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

using testing::replica;

/// Fake roster and voter group; the test sets the reachable instances and the members.
class fake_voter_group final : public component, public roster_view, public voter_group
{
public:
    explicit fake_voter_group(component_parts const& parts)
    {
        parts.services.provide<roster_view>(*this);
        parts.services.provide<voter_group>(*this);
        parts.services.provide<fake_voter_group>(*this);
    }

    std::vector<version_id> versions_of(service_id const&) const override { return {}; }
    slots capacity_of(service_id const&, version_id const&) const override { return {}; }
    std::vector<messages::entry_notice> entry_notices() const override { return {}; }
    std::vector<instance_description> control_since(instant) const override { return reachable; }
    std::optional<instant> control_last_heard(instance_id id) const override
    {
        auto const found = last_heard.find(id);
        return found == last_heard.end() ? std::nullopt : std::optional(found->second);
    }
    group_membership const& membership() const override { return members; }
    bool answers(instance_id id) const override
    {
        bool const is_reachable =
            std::any_of(reachable.begin(), reachable.end(),
                        [&](instance_description const& it) { return it.id == id; });
        return id == instance_id(1) || (is_reachable && !failed_disks.contains(id));
    }
    bool begin_replacement(replacement const& change, std::vector<replacement> const& given_up,
                           instant) override
    {
        begun_replacements.push_back(change);
        abandoned = given_up;
        std::erase_if(members.pending,
                      [&](replacement const& it) {
                          return std::find(given_up.begin(), given_up.end(), it) != given_up.end();
                      });
        if (!members.pending.empty() && members.pending != std::vector{change})
            return false;
        members.pending = {change};
        return true;
    }

    bool is_membership_committed() const override { return true; }
    bool hand_over_lead(std::set<instance_id> const&, instant) override { return false; }

    std::vector<instance_description> reachable;
    group_membership members;
    std::map<instance_id, instant> last_heard; ///< Where the test sets it.
    std::vector<replacement> begun_replacements;
    std::vector<replacement> abandoned; ///< With the newest replacement.
    std::set<instance_id> failed_disks; ///< Of instances that are reachable and do not answer.
};

component_registrar<fake_voter_group> const registered{"fake_voter_group", component_order::roster};

instance_description instance_in(std::uint32_t id, std::string const& region)
{
    return {.id = instance_id(id),
            .region = region_id(region),
            .domain = domain_id(region + "-a"),
            .peer = {"10.0.0.1", static_cast<std::uint16_t>(id)},
            .caller = {}};
}

/// Limit CatchUp: time after the start of the successor of a lost machine from which on another
/// machine may be lost. A successor may start at the moment of the loss.
constexpr milliseconds catch_up{4000};
/// Longest time of an election after the loss of a leader: its word and the timeout of a candidate.
constexpr milliseconds election_time{1400};
/// Time for an instance to join as a voter: snapshot, two changes of the membership.
constexpr milliseconds join_time{1000};
/// Time for which a voter that is lost still counts as answering: four heartbeats.
constexpr milliseconds answer_delay{800};

class voter_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(voter_keeper_test);
    CPPUNIT_TEST(a_silent_voter_is_replaced);
    CPPUNIT_TEST(a_voter_with_short_silences_is_not_replaced);
    CPPUNIT_TEST(a_lost_voter_is_replaced_before_the_next_loss);
    CPPUNIT_TEST(a_voter_that_was_lost_with_its_leadership_is_replaced_before_the_next_loss);
    CPPUNIT_TEST(a_new_leader_gives_the_voters_time_to_answer);
    CPPUNIT_TEST(the_replacement_comes_from_a_region_without_voters);
    CPPUNIT_TEST(no_voter_is_replaced_without_a_candidate);
    CPPUNIT_TEST(a_follower_replaces_no_voter);
    CPPUNIT_TEST(a_voter_whose_disk_failed_is_replaced_although_it_is_heard);
    CPPUNIT_TEST(a_replacement_that_is_lost_blocks_no_further_one);
    CPPUNIT_TEST(a_replacement_that_answers_is_not_given_up);
    CPPUNIT_TEST(a_lost_replacement_is_kept_while_no_other_change_is_due);
    CPPUNIT_TEST(an_addition_that_does_not_answer_is_tried_with_another_instance);
    CPPUNIT_TEST(the_group_grows_to_the_required_number_of_voters);
    CPPUNIT_TEST(voters_are_spread_again_when_a_region_is_back);
    CPPUNIT_TEST(a_voter_leaves_the_region_with_the_most_of_them);
    CPPUNIT_TEST(voters_are_not_moved_while_one_is_silent);
    CPPUNIT_TEST(any_number_of_losses_is_accepted);
    CPPUNIT_TEST(a_group_that_is_to_tolerate_no_loss_stays_as_it_is);
    CPPUNIT_TEST(a_group_that_is_to_tolerate_many_losses_takes_all_instances);
    CPPUNIT_TEST(a_group_has_two_more_voters_for_a_removal_if_there_are_enough_instances);
    CPPUNIT_TEST(a_group_without_enough_instances_has_no_voter_more);
    CPPUNIT_TEST(a_voter_that_stops_gives_its_vote_to_an_instance_of_its_region);
    CPPUNIT_TEST(a_lost_voter_is_replaced_before_one_that_stops);
    CPPUNIT_TEST(an_instance_that_stops_takes_over_no_vote);
    CPPUNIT_TEST(an_instance_tells_that_it_stops_until_its_process_ends);
    CPPUNIT_TEST(an_instance_that_stopped_takes_over_no_vote_while_it_counts_as_reachable);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (std::uint32_t id = 1; id != 4; ++id)
            group().members.voters.push_back({.id = instance_id(id)});
        group().reachable = {instance_in(2, "e"), instance_in(3, "u"), instance_in(4, "e"),
                             instance_in(5, "u")};
    }

    void a_silent_voter_is_replaced()
    {
        make_silent(3);
        run_for(seconds(6));
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().leaving == instance_id(3));
    }

    void a_voter_with_short_silences_is_not_replaced()
    {
        auto const all_reachable = group().reachable;
        make_silent(3);
        run_for(milliseconds(1500));
        group().reachable = all_reachable;
        run_for(milliseconds(1500));
        make_silent(3);
        run_for(milliseconds(1500));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    // Guards against CONFIG: a voter was replaced 5 s after its loss. The next loss, which may come
    // once the successor of the first machine has run for 4 s, left one voter of three, and the
    // group had no leader any more.
    void a_lost_voter_is_replaced_before_the_next_loss()
    {
        run_for(seconds(1));
        make_silent(3);
        run_for(catch_up - join_time - answer_delay);
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().leaving == instance_id(3));
    }

    // Guards against the same where the voter was the leader: its silence counted from the election
    // of the next one.
    void a_voter_that_was_lost_with_its_leadership_is_replaced_before_the_next_loss()
    {
        replica_->log().leads = false;
        run_for(seconds(1));
        group().last_heard[instance_id(3)] = replica_->now();
        make_silent(3);
        run_for(election_time);
        replica_->log().takes_the_lead = true;
        run_for(catch_up - join_time - election_time);
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().leaving == instance_id(3));
    }

    // Guards against voters that are replaced though they work: a new leader has no answers yet,
    // and their messages of other kinds are lost.
    void a_new_leader_gives_the_voters_time_to_answer()
    {
        replica_->log().leads = false;
        run_for(seconds(5));
        auto const all_reachable = group().reachable;
        group().last_heard[instance_id(3)] = replica_->now() - seconds(4);
        make_silent(3);
        replica_->log().takes_the_lead = true;
        run_for(milliseconds(500));
        group().reachable = all_reachable;
        run_for(seconds(5));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    void the_replacement_comes_from_a_region_without_voters()
    {
        make_silent(3);
        run_for(seconds(6));
        CPPUNIT_ASSERT(group().begun_replacements.front().joining == instance_id(5));
    }

    void no_voter_is_replaced_without_a_candidate()
    {
        group().reachable = {instance_in(2, "e")};
        run_for(seconds(20));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    void a_follower_replaces_no_voter()
    {
        replica_->log().leads = false;
        make_silent(3);
        run_for(seconds(20));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    // Guards against CONFIG: a voter whose disk had failed was kept, since its other messages came,
    // and the next loss ended the group's work.
    void a_voter_whose_disk_failed_is_replaced_although_it_is_heard()
    {
        group().failed_disks.insert(instance_id(3));
        run_for(seconds(6));
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().leaving == instance_id(3));
    }

    // Guards against CONFIG: an instance that was to replace a voter was lost itself, and the
    // change that could not be completed blocked all further ones.
    void a_replacement_that_is_lost_blocks_no_further_one()
    {
        make_silent(3);
        run_for(seconds(5));
        auto const first = group().begun_replacements.at(0);
        make_silent(first.joining.value());
        run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group().begun_replacements.size());
        auto const& second = group().begun_replacements.at(1);
        CPPUNIT_ASSERT(second.leaving == instance_id(3));
        CPPUNIT_ASSERT(second.joining != first.joining);
        CPPUNIT_ASSERT(group().abandoned == std::vector{first});
    }

    void a_replacement_that_answers_is_not_given_up()
    {
        make_silent(3);
        run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group().begun_replacements.size());
    }

    // Guards against an operator's replacement that is dropped before the new instance started.
    void a_lost_replacement_is_kept_while_no_other_change_is_due()
    {
        group().members.pending = {{.leaving = instance_id(3), .joining = instance_id(9)}};
        run_for(seconds(20));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    // Guards against a group that stays too small: the instance that was to join was heard, but its
    // disk had failed, and it was chosen again and again.
    void an_addition_that_does_not_answer_is_tried_with_another_instance()
    {
        group().members.voters.pop_back();
        group().failed_disks.insert(instance_id(3));
        run_for(seconds(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group().begun_replacements.size());
        CPPUNIT_ASSERT(group().begun_replacements.front().joining == instance_id(3));
        CPPUNIT_ASSERT(group().begun_replacements.back().joining != instance_id(3));
    }

    // Guards against LOST: a group that keeps three voters, whatever number of disk losses it must
    // tolerate.
    void the_group_grows_to_the_required_number_of_voters()
    {
        group().members.voters.pop_back();
        run_for(seconds(2));
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        auto const& change = group().begun_replacements.front();
        CPPUNIT_ASSERT_MESSAGE("no voter leaves", change.leaving == change.joining);
        CPPUNIT_ASSERT_MESSAGE("joins in a region without voters",
                               change.joining == instance_id(3));
    }

    // Guards against CONFIG: the voter of a region that was lost was replaced by one of another
    // region, and stayed there. The loss of that region, one alone, then took most voters.
    void voters_are_spread_again_when_a_region_is_back()
    {
        group().reachable = {instance_in(2, "e"), instance_in(3, "e"), instance_in(4, "e")};
        run_for(seconds(5));
        CPPUNIT_ASSERT_MESSAGE("no region without voters", group().begun_replacements.empty());
        group().reachable.push_back(instance_in(5, "u"));
        run_for(catch_up - join_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group().begun_replacements.size());
        auto const& change = group().begun_replacements.front();
        CPPUNIT_ASSERT(change.leaving == instance_id(2) || change.leaving == instance_id(3));
        CPPUNIT_ASSERT(change.joining == instance_id(5));
    }

    // Guards against a region that keeps three voters of five, whose loss leaves no majority.
    void a_voter_leaves_the_region_with_the_most_of_them()
    {
        configure(2);
        group().members.voters.push_back({.id = instance_id(4)});
        group().members.voters.push_back({.id = instance_id(5)});
        // Instance 1 leads in a region of its own here.
        group().reachable = {instance_in(2, "e"), instance_in(3, "u"), instance_in(4, "u"),
                             instance_in(5, "u"), instance_in(6, "e"), instance_in(7, "m")};
        run_for(catch_up - join_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group().begun_replacements.size());
        auto const& change = group().begun_replacements.front();
        CPPUNIT_ASSERT(change.leaving == instance_id(3));
        CPPUNIT_ASSERT(change.joining == instance_id(7));
    }

    void voters_are_not_moved_while_one_is_silent()
    {
        group().reachable = {instance_in(2, "e"), instance_in(3, "e"), instance_in(5, "u")};
        group().failed_disks.insert(instance_id(3));
        run_for(milliseconds(1500));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    // Guards against control instances that do not start, since the platform states a number of
    // losses that the settings refuse.
    void any_number_of_losses_is_accepted()
    {
        for (auto const losses : {0, 1, 4, 40, 1000})
            CPPUNIT_ASSERT_MESSAGE(std::to_string(losses), read_settings(losses).has_value());
        CPPUNIT_ASSERT(!read_settings(-1).has_value());
    }

    void a_group_that_is_to_tolerate_no_loss_stays_as_it_is()
    {
        configure(0);
        group().members.voters.resize(1);
        run_for(seconds(10));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    void a_group_that_is_to_tolerate_many_losses_takes_all_instances()
    {
        configure(4);
        CPPUNIT_ASSERT(add_voters() == (std::set{instance_id(4), instance_id(5)}));
    }

    // Guards against CONFIG: the vote of an instance that was removed as planned and that of a disk
    // that was lost before it had passed on were two of three.
    void a_group_has_two_more_voters_for_a_removal_if_there_are_enough_instances()
    {
        configure(1, 1);
        CPPUNIT_ASSERT(add_voters() == (std::set{instance_id(4), instance_id(5)}));
        group().reachable.push_back(instance_in(6, "e"));
        run_for(seconds(10));
        CPPUNIT_ASSERT_MESSAGE("and no more", group().begun_replacements.empty());
    }

    // Guards against four voters, of which two can be lost no more than of three.
    void a_group_without_enough_instances_has_no_voter_more()
    {
        configure(1, 1);
        group().reachable.pop_back();
        run_for(seconds(10));
        CPPUNIT_ASSERT(group().begun_replacements.empty());
    }

    // Guards against voters that are moved again right after a planned stop, since a region was
    // left without one.
    void a_voter_that_stops_gives_its_vote_to_an_instance_of_its_region()
    {
        group().reachable = {instance_in(2, "e"), instance_in(3, "u"), instance_in(4, "e"),
                             instance_in(5, "u")};
        run_for(seconds(1));
        replica_->receive(instance_id(3), messages::stop_notice{});
        run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group().begun_replacements.size());
        CPPUNIT_ASSERT(group().begun_replacements.front().leaving == instance_id(3));
        CPPUNIT_ASSERT(group().begun_replacements.front().joining == instance_id(5));
    }

    void a_lost_voter_is_replaced_before_one_that_stops()
    {
        run_for(seconds(1));
        make_silent(3);
        run_for(milliseconds(2100));
        group().begun_replacements.clear();
        group().members.pending.clear();
        replica_->receive(instance_id(2), messages::stop_notice{});
        run_for(milliseconds(200));
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().leaving == instance_id(3));
    }

    void an_instance_that_stops_takes_over_no_vote()
    {
        run_for(seconds(1));
        make_silent(3);
        for (int n = 0; n != 50; ++n)
        {
            replica_->receive(instance_id(5), messages::stop_notice{});
            run_for(milliseconds(100));
        }
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().joining == instance_id(4));
    }

    // Guards against a vote that is given to an instance that has the permission to stop, but still
    // answers requests.
    void an_instance_tells_that_it_stops_until_its_process_ends()
    {
        replica_->recover();
        replica_->log().leads = false;
        replica_->log().known_leader = instance_id(2);
        replica_->request_stop();
        run_for(milliseconds(300));
        replica_->receive(instance_id(2), messages::stop_permission{.granted = true});
        auto const before = replica_->sent<messages::stop_notice>();
        CPPUNIT_ASSERT(before > 0);
        run_for(milliseconds(300));
        CPPUNIT_ASSERT(replica_->sent<messages::stop_notice>() > before);
    }

    // Guards against a vote that goes to a process that has ended: its last message came after its
    // last notice, so that it counted as reachable for longer than as stopping.
    void an_instance_that_stopped_takes_over_no_vote_while_it_counts_as_reachable()
    {
        run_for(seconds(1));
        replica_->receive(instance_id(5), messages::stop_notice{});
        run_for(milliseconds(1200));
        replica_->receive(instance_id(3), messages::stop_notice{});
        run_for(milliseconds(200));
        CPPUNIT_ASSERT(!group().begun_replacements.empty());
        CPPUNIT_ASSERT(group().begun_replacements.front().joining == instance_id(4));
    }

private:
    /// Runs for a while and lets each instance join that is chosen; returns these.
    std::set<instance_id> add_voters()
    {
        std::set<instance_id> out;
        for (int n = 0; n != 10; ++n)
        {
            run_for(seconds(1));
            for (auto const& it : std::exchange(group().begun_replacements, {}))
            {
                CPPUNIT_ASSERT_MESSAGE("no voter leaves", it.leaving == it.joining);
                if (out.insert(it.joining).second)
                    group().members.voters.push_back({.id = it.joining});
                group().members.pending.clear();
            }
        }
        return out;
    }

    static result<kernel::settings> read_settings(int losses, int removals = 0)
    {
        return kernel::parse_settings("{\"voters\": {\"losses_borne\": " + std::to_string(losses) +
                                          ", \"removals_borne\": " + std::to_string(removals) +
                                          "}}",
                                      "test");
    }

    /// Starts a new instance and group with these settings.
    void configure(int losses, int removals = 0)
    {
        auto const members = group().members;
        auto const reachable = group().reachable;
        replica_ =
            std::make_unique<replica>(instance_id(1), read_settings(losses, removals).value());
        group().members = members;
        group().reachable = reachable;
    }

    fake_voter_group& group() { return replica_->service<fake_voter_group>(); }

    void make_silent(std::uint32_t id)
    {
        std::erase_if(group().reachable,
                      [id](instance_description const& it) { return it.id == instance_id(id); });
    }

    void run_for(span duration)
    {
        for (span elapsed{0}; elapsed < duration; elapsed += milliseconds(100))
            replica_->tick(milliseconds(100));
    }

    std::unique_ptr<replica> replica_ =
        std::make_unique<replica>(instance_id(1), read_settings(1).value());
};

CPPUNIT_TEST_SUITE_REGISTRATION(voter_keeper_test);

} // namespace

} // namespace mulberryrudder::control
