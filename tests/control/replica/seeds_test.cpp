#include "fake_group.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

using testing::fake_group;

/// A group that is named by the addresses of its seeds, and instances beside it.
class seeded_group : public fake_group
{
public:
    explicit seeded_group(std::uint64_t seed = 7) : fake_group(3, seed) { by_address = true; }

    bool wait_for_leader()
    {
        return run_until([this] { return acting() != 0; }, seconds(20));
    }

    members_listed members()
    {
        answers.clear();
        ask(acting(), any_message::of(list_members{}));
        run_until([this] { return !answers.empty(); }, seconds(5));
        return *answers.back().get<members_listed>();
    }

    /// Returns whether an instance has a vote by the disk that it has now.
    bool votes(std::uint32_t id)
    {
        if (acting() == 0)
            return false;
        auto const all = members().members;
        return std::any_of(all.begin(), all.end(),
                           [&](member_status const& it) {
                               return it.id == instance_id(id) && it.votes &&
                                      it.disk == at(id).disk.contents().state.disk;
                           });
    }

    std::size_t founded() const
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
    CPPUNIT_TEST(an_instance_that_is_no_seed_waits);
    CPPUNIT_TEST(blank_disks_found_nothing_after_the_first_start);
    CPPUNIT_TEST(a_wiped_seed_gets_its_vote_back_by_joining);
    CPPUNIT_TEST(all_seeds_come_back_with_their_disks);
    CPPUNIT_TEST(an_instance_takes_the_place_of_a_lost_seed);
    CPPUNIT_TEST(a_group_that_grew_bears_the_loss_of_two_disks);
    CPPUNIT_TEST(an_addition_that_never_comes_about_holds_up_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void seeds_found_one_group_in_any_order_of_start()
    {
        CPPUNIT_ASSERT(
            rc::check("seeds and others start in any order within a second",
                      [](std::uint32_t seed)
                      {
                          seeded_group it(seed);
                          random_source random(seed);
                          std::vector<std::uint32_t> order{
                              1, 2, 3, it.add_instance(), it.add_instance(), it.add_instance()};
                          std::shuffle(order.begin(), order.end(), random);
                          for (auto const id : order)
                          {
                              it.start(id);
                              it.run_for(milliseconds(random() % 150));
                          }
                          RC_ASSERT(it.wait_for_leader());
                          it.run_for(seconds(1));
                          RC_ASSERT(it.members().members.size() == 3U);
                      }));
    }

    void an_instance_that_is_no_seed_waits()
    {
        seeded_group it;
        auto const other = it.add_instance();
        it.start(other);
        it.run_for(seconds(10));
        CPPUNIT_ASSERT(it.acting() == 0);
        for (std::uint32_t id = 1; id != 4; ++id)
            it.start(id);
        CPPUNIT_ASSERT(it.wait_for_leader());
        CPPUNIT_ASSERT(!it.votes(other));
    }

    void blank_disks_found_nothing_after_the_first_start()
    {
        seeded_group it;
        it.founding = false;
        for (std::uint32_t id = 1; id != 4; ++id)
            it.start(id);
        it.run_for(seconds(20));
        CPPUNIT_ASSERT(it.acting() == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.founded());
    }

    void a_wiped_seed_gets_its_vote_back_by_joining()
    {
        seeded_group it;
        start_all(it);
        it.propose(5);
        it.run_for(seconds(1));
        it.founding = false;
        it.kill(2);
        it.at(2).disk = {};
        it.start(2);
        for (int n = 0; n != 100 && !it.votes(2); ++n)
            it.run_for(milliseconds(100));
        CPPUNIT_ASSERT(it.votes(2));
        CPPUNIT_ASSERT(it.has_value(2, 5));
    }

    void all_seeds_come_back_with_their_disks()
    {
        seeded_group it;
        start_all(it);
        it.propose(5);
        it.run_for(seconds(1));
        it.founding = false;
        for (std::uint32_t id = 1; id != 4; ++id)
            it.kill(id);
        for (std::uint32_t id = 1; id != 4; ++id)
            it.start(id);
        CPPUNIT_ASSERT(it.wait_for_leader());
        CPPUNIT_ASSERT(it.has_value(it.acting(), 5));
    }

    void an_instance_takes_the_place_of_a_lost_seed()
    {
        seeded_group it;
        start_all(it);
        it.propose(5);
        it.run_for(seconds(1));
        it.founding = false;
        auto const other = it.add_instance();
        it.start(other);
        it.run_for(seconds(2));
        std::uint32_t const lost = it.acting() == 1 ? 2 : 1;
        it.kill(lost);
        it.ask(it.acting(), any_message::of(replace_member{.leaving = instance_id(lost),
                                                           .joining = instance_id(other),
                                                           .peer = {"10.0.0.9", 7000}}));
        for (int n = 0; n != 100 && !it.votes(other); ++n)
            it.run_for(milliseconds(100));
        CPPUNIT_ASSERT(it.votes(other));
        CPPUNIT_ASSERT(it.has_value(other, 5));
        // The group now bears the loss of another seed.
        it.kill(it.acting());
        CPPUNIT_ASSERT(it.wait_for_leader());
    }

    // Guards against LOST and RECOVER: of three voters two lost their disks, as all others
    // lost power, and nobody could lead any more.
    void a_group_that_grew_bears_the_loss_of_two_disks()
    {
        seeded_group it;
        start_all(it);
        it.founding = false;
        for (int n = 0; n != 2; ++n)
            grow(it);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, it.members().members.size());
        it.propose(5);
        it.run_for(seconds(1));
        auto const leader = it.acting();
        auto const other = leader == 1 ? 2U : 1U;
        for (std::uint32_t id = 1; id != 6; ++id)
            it.kill(id);
        it.at(leader).disk = {};
        it.at(other).disk = {};
        for (std::uint32_t id = 1; id != 6; ++id)
            it.start(id);
        CPPUNIT_ASSERT(it.wait_for_leader());
        for (int n = 0; n != 200 && !(it.votes(leader) && it.votes(other)); ++n)
            it.run_for(milliseconds(100));
        CPPUNIT_ASSERT(it.votes(leader) && it.votes(other));
        CPPUNIT_ASSERT(it.has_value(it.acting(), 5));
    }

    void an_addition_that_never_comes_about_holds_up_nothing()
    {
        seeded_group it;
        start_all(it);
        it.founding = false;
        auto const dead = it.add_instance();
        CPPUNIT_ASSERT(begin(it, dead, dead));
        it.run_for(seconds(2));
        auto const other = it.add_instance();
        it.start(other);
        it.run_for(seconds(2));
        std::uint32_t const lost = it.acting() == 1 ? 2 : 1;
        it.kill(lost);
        it.run_for(seconds(1));
        CPPUNIT_ASSERT(begin(it, lost, other));
        for (int n = 0; n != 100 && !it.votes(other); ++n)
            it.run_for(milliseconds(100));
        CPPUNIT_ASSERT(it.votes(other));
    }

private:
    static bool begin(seeded_group& it, std::uint32_t leaving, std::uint32_t joining)
    {
        auto& group = it.at(it.acting()).decisions->services().require<voter_group>();
        return group.begin_replacement({.leaving = instance_id(leaving),
                                        .joining = instance_id(joining),
                                        .peer = {"10.0.0.9", static_cast<std::uint16_t>(joining)}},
                                       it.now());
    }

    /// Adds an instance to the group and waits until it votes.
    static void grow(seeded_group& it)
    {
        auto const joining = it.add_instance();
        it.start(joining);
        it.run_for(seconds(2));
        CPPUNIT_ASSERT(begin(it, joining, joining));
        for (int n = 0; n != 100 && !it.votes(joining); ++n)
            it.run_for(milliseconds(100));
        CPPUNIT_ASSERT(it.votes(joining));
    }

    static void start_all(seeded_group& it)
    {
        for (std::uint32_t id = 1; id != 4; ++id)
            it.start(id);
        CPPUNIT_ASSERT(it.wait_for_leader());
        it.run_for(seconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(seeds_test);

} // namespace

} // namespace mulberryrudder::control
