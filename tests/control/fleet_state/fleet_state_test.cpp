#include "../support/replica.hpp"
#include "../support/sample_notes.hpp"

#include <mulberryrudder/control/fleet_snapshot.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

class fleet_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_state_test);
    CPPUNIT_TEST(a_step_changes_the_share_in_a_new_generation);
    CPPUNIT_TEST(a_step_above_the_cap_has_no_effect);
    CPPUNIT_TEST(a_step_of_an_older_move_has_no_effect);
    CPPUNIT_TEST(a_done_move_makes_the_new_version_the_routes_own);
    CPPUNIT_TEST(a_move_that_was_taken_back_leaves_the_old_version);
    CPPUNIT_TEST(an_end_that_arrives_twice_counts_once);
    CPPUNIT_TEST(a_snapshot_gives_the_same_state_and_history);
    CPPUNIT_TEST(a_snapshot_never_takes_the_generation_back);
    CPPUNIT_TEST(forgotten_numbers_are_a_conflict);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_step_changes_the_share_in_a_new_generation()
    {
        replica it;
        start_move(it);
        change(it, step_move{key, per_mille(200)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, timing(it).next_share.count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.state().config()->generation.value());
    }

    void a_step_above_the_cap_has_no_effect()
    {
        replica it;
        start_move(it);
        change(it, step_move{key, per_mille(301)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(it).next_share.count());
        CPPUNIT_ASSERT(it.state().last_change().outcome == change_outcome::refused);
    }

    void a_step_of_an_older_move_has_no_effect()
    {
        replica it;
        start_move(it);
        change(it, step_move{{key.route, note_number(1)}, per_mille(200)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(it).next_share.count());
    }

    void a_done_move_makes_the_new_version_the_routes_own()
    {
        replica it;
        start_move(it);
        change(it, end_move{key, move_outcome::done, "all steps held"});
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), timing(it).version.value());
        CPPUNIT_ASSERT_EQUAL(std::string(), timing(it).next.value());
        CPPUNIT_ASSERT(it.state().moves().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("all steps held"), it.state().ended_moves()[0].evidence);
    }

    void a_move_that_was_taken_back_leaves_the_old_version()
    {
        replica it;
        start_move(it);
        change(it, step_move{key, per_mille(200)});
        change(it, end_move{key, move_outcome::taken_back, "it fails"});
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), timing(it).version.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(it).next_share.count());
    }

    void an_end_that_arrives_twice_counts_once()
    {
        replica it;
        start_move(it);
        change(it, end_move{key, move_outcome::done, "first"});
        change(it, end_move{key, move_outcome::taken_back, "second"});
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), timing(it).version.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.state().ended_moves().size());
    }

    void a_snapshot_gives_the_same_state_and_history()
    {
        replica it;
        start_move(it);
        replica other;
        load(other, saved(it));
        CPPUNIT_ASSERT(*it.state().config() == *other.state().config());
        CPPUNIT_ASSERT(it.state().moves() == other.state().moves());
        auto const again = other.commit<note_answer>(submission(move_note()));
        CPPUNIT_ASSERT(again.result.outcome == change_outcome::accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, again.result.generation.value());
    }

    void a_snapshot_never_takes_the_generation_back()
    {
        replica it;
        auto const old = saved(it);
        start_move(it);
        CPPUNIT_ASSERT_THROW(load(it, old), invariant_violated);
    }

    void forgotten_numbers_are_a_conflict()
    {
        replica it;
        fleet_snapshot part;
        part.forgotten = note_number(50);
        load(it, {any_message::of(part)});
        auto const late = it.commit<note_answer>(submission(first_note(50)));
        CPPUNIT_ASSERT(late.result.outcome == change_outcome::conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("/number"), late.result.failed[0].place);
        auto const next = it.commit<note_answer>(submission(first_note(51)));
        CPPUNIT_ASSERT(next.result.outcome == change_outcome::accepted);
    }

private:
    static void start_move(replica& it)
    {
        it.commit<note_answer>(submission(first_note()));
        it.commit<note_answer>(submission(move_note()));
    }

    template <class Change>
    static void change(replica& it, Change const& what)
    {
        it.state().propose_change(what);
        it.log().commit_all();
        it.tick();
    }

    static std::vector<any_message> saved(replica& it)
    {
        it.log().wants_snapshot = true;
        it.tick();
        return it.log().saved_snapshot;
    }

    static void load(replica& it, std::vector<any_message> parts)
    {
        it.log().snapshot_to_load = std::move(parts);
        it.tick();
    }

    static route_config const& timing(replica& it)
    {
        return it.state().config()->routes.at(route_id("timing"));
    }

    inline static move_key const key{route_id("timing"), note_number(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_state_test);

} // namespace

} // namespace mulberryrudder::control::testing
