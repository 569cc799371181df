#include "fake_group.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

using testing::fake_group;

/// A group whose settings give three seeds by address; other instances may be added.
class seeded_group : public fake_group
{
public:
    explicit seeded_group(std::uint64_t seed = 7) : fake_group(3, seed) { seeds_by_address = true; }

    bool wait_for_leader()
    {
        return run_until([this] { return acting_leader() != 0; }, seconds(20));
    }

    members_listed members()
    {
        answers.clear();
        send_operator_request(acting_leader(), any_message::of(list_members{}));
        run_until([this] { return !answers.empty(); }, seconds(5));
        return *answers.back().get<members_listed>();
    }

    /// Returns whether an instance's current disk has a vote.
    bool votes(std::uint32_t id)
    {
        if (acting_leader() == 0)
            return false;
        auto const all = members().members;
        return std::any_of(all.begin(), all.end(),
                           [&](member_status const& it) {
                               return it.id == instance_id(id) && it.votes &&
                                      it.disk == at(id).disk.contents().state.disk;
                           });
    }

    std::size_t founding_count() const
    {
        std::size_t out = 0;
        for (std::size_t n = 0; n != size(); ++n)
        {
            auto const& names =
                const_cast<seeded_group&>(*this).at(static_cast<std::uint32_t>(n + 1)).events.names;
            out +=
                static_cast<std::size_t>(std::count(names.begin(), names.end(), "replica.founded"));
        }
        return out;
    }
};

class seeds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(seeds_test);
    CPPUNIT_TEST(seeds_found_one_group_in_any_order_of_start);
    CPPUNIT_TEST(an_instance_that_is_not_a_seed_gets_no_vote);
    CPPUNIT_TEST(blank_disks_found_no_group_after_the_first_start);
    CPPUNIT_TEST(a_wiped_seed_regains_its_vote_by_joining);
    CPPUNIT_TEST(a_group_resumes_after_all_seeds_restart);
    CPPUNIT_TEST(an_instance_replaces_a_failed_seed);
    CPPUNIT_TEST(a_group_that_grew_to_five_tolerates_the_loss_of_two_disks);
    CPPUNIT_TEST(a_pending_addition_does_not_block_a_replacement);
    CPPUNIT_TEST_SUITE_END();

public:
    void seeds_found_one_group_in_any_order_of_start()
    {
        CPPUNIT_ASSERT(rc::check(
            "seeds and others start in any order within a second",
            [](std::uint32_t seed)
            {
                seeded_group group(seed);
                random_source random(seed);
                std::vector<std::uint32_t> order{
                    1, 2, 3, group.add_instance(), group.add_instance(), group.add_instance()};
                std::shuffle(order.begin(), order.end(), random);
                for (auto const id : order)
                {
                    group.start(id);
                    group.run_for(milliseconds(random() % 150));
                }
                RC_ASSERT(group.wait_for_leader());
                group.run_for(seconds(1));
                RC_ASSERT(group.members().members.size() == 3U);
            }));
    }

    void an_instance_that_is_not_a_seed_gets_no_vote()
    {
        seeded_group group;
        auto const other = group.add_instance();
        group.start(other);
        group.run_for(seconds(10));
        CPPUNIT_ASSERT(group.acting_leader() == 0);
        for (std::uint32_t id = 1; id != 4; ++id)
            group.start(id);
        CPPUNIT_ASSERT(group.wait_for_leader());
        CPPUNIT_ASSERT(!group.votes(other));
    }

    void blank_disks_found_no_group_after_the_first_start()
    {
        seeded_group group;
        group.may_found = false;
        for (std::uint32_t id = 1; id != 4; ++id)
            group.start(id);
        group.run_for(seconds(20));
        CPPUNIT_ASSERT(group.acting_leader() == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.founding_count());
    }

    void a_wiped_seed_regains_its_vote_by_joining()
    {
        seeded_group group;
        start_all(group);
        group.propose(5);
        group.run_for(seconds(1));
        group.may_found = false;
        group.kill(2);
        group.at(2).disk = {};
        group.start(2);
        for (int n = 0; n != 100 && !group.votes(2); ++n)
            group.run_for(milliseconds(100));
        CPPUNIT_ASSERT(group.votes(2));
        CPPUNIT_ASSERT(group.has_value(2, 5));
    }

    void a_group_resumes_after_all_seeds_restart()
    {
        seeded_group group;
        start_all(group);
        group.propose(5);
        group.run_for(seconds(1));
        group.may_found = false;
        for (std::uint32_t id = 1; id != 4; ++id)
            group.kill(id);
        for (std::uint32_t id = 1; id != 4; ++id)
            group.start(id);
        CPPUNIT_ASSERT(group.wait_for_leader());
        CPPUNIT_ASSERT(group.has_value(group.acting_leader(), 5));
    }

    void an_instance_replaces_a_failed_seed()
    {
        seeded_group group;
        start_all(group);
        group.propose(5);
        group.run_for(seconds(1));
        group.may_found = false;
        auto const other = group.add_instance();
        group.start(other);
        group.run_for(seconds(2));
        std::uint32_t const failed = group.acting_leader() == 1 ? 2 : 1;
        group.kill(failed);
        group.send_operator_request(group.acting_leader(),
                                    any_message::of(replace_member{.leaving = instance_id(failed),
                                                                   .joining = instance_id(other),
                                                                   .peer = {"10.0.0.9", 7000}}));
        for (int n = 0; n != 100 && !group.votes(other); ++n)
            group.run_for(milliseconds(100));
        CPPUNIT_ASSERT(group.votes(other));
        CPPUNIT_ASSERT(group.has_value(other, 5));
        // The group now tolerates the loss of another seed.
        group.kill(group.acting_leader());
        CPPUNIT_ASSERT(group.wait_for_leader());
    }

    // Guards against LOST and RECOVER: the group has three voters only, all instances lose power
    // and two of the voters lose their disks, so that no leader can be elected any more.
    void a_group_that_grew_to_five_tolerates_the_loss_of_two_disks()
    {
        seeded_group group;
        start_all(group);
        group.may_found = false;
        for (int n = 0; n != 2; ++n)
            add_voter(group);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.members().members.size());
        group.propose(5);
        group.run_for(seconds(1));
        auto const leader = group.acting_leader();
        auto const other = leader == 1 ? 2U : 1U;
        for (std::uint32_t id = 1; id != 6; ++id)
            group.kill(id);
        group.at(leader).disk = {};
        group.at(other).disk = {};
        for (std::uint32_t id = 1; id != 6; ++id)
            group.start(id);
        CPPUNIT_ASSERT(group.wait_for_leader());
        for (int n = 0; n != 200 && !(group.votes(leader) && group.votes(other)); ++n)
            group.run_for(milliseconds(100));
        CPPUNIT_ASSERT(group.votes(leader) && group.votes(other));
        CPPUNIT_ASSERT(group.has_value(group.acting_leader(), 5));
    }

    void a_pending_addition_does_not_block_a_replacement()
    {
        seeded_group group;
        start_all(group);
        group.may_found = false;
        auto const unstarted = group.add_instance();
        CPPUNIT_ASSERT(begin_replacement(group, unstarted, unstarted));
        group.run_for(seconds(2));
        auto const other = group.add_instance();
        group.start(other);
        group.run_for(seconds(2));
        std::uint32_t const failed = group.acting_leader() == 1 ? 2 : 1;
        group.kill(failed);
        group.run_for(seconds(1));
        CPPUNIT_ASSERT(begin_replacement(group, failed, other));
        for (int n = 0; n != 100 && !group.votes(other); ++n)
            group.run_for(milliseconds(100));
        CPPUNIT_ASSERT(group.votes(other));
    }

private:
    static bool begin_replacement(seeded_group& group, std::uint32_t leaving, std::uint32_t joining)
    {
        auto& voters =
            group.at(group.acting_leader()).decision_core->services().require<voter_group>();
        return voters.begin_replacement({.leaving = instance_id(leaving),
                                         .joining = instance_id(joining),
                                         .peer = {"10.0.0.9", static_cast<std::uint16_t>(joining)}},
                                        {}, group.now());
    }

    /// Adds an instance to the group and waits until it votes.
    static void add_voter(seeded_group& group)
    {
        auto const joining = group.add_instance();
        group.start(joining);
        group.run_for(seconds(2));
        CPPUNIT_ASSERT(begin_replacement(group, joining, joining));
        for (int n = 0; n != 100 && !group.votes(joining); ++n)
            group.run_for(milliseconds(100));
        CPPUNIT_ASSERT(group.votes(joining));
    }

    static void start_all(seeded_group& group)
    {
        for (std::uint32_t id = 1; id != 4; ++id)
            group.start(id);
        CPPUNIT_ASSERT(group.wait_for_leader());
        group.run_for(seconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(seeds_test);

} // namespace

} // namespace mulberryrudder::control
