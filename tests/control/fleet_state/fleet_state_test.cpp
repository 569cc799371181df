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
    CPPUNIT_TEST(a_done_move_gives_the_route_the_new_version);
    CPPUNIT_TEST(a_rolled_back_move_leaves_the_old_version);
    CPPUNIT_TEST(a_second_end_of_a_move_has_no_effect);
    CPPUNIT_TEST(a_loaded_snapshot_restores_the_state_and_the_history);
    CPPUNIT_TEST(a_snapshot_with_a_lower_generation_is_rejected);
    CPPUNIT_TEST(an_expired_note_number_is_a_conflict);
    CPPUNIT_TEST(the_oldest_note_expires_rather_than_the_lowest_number);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_step_changes_the_share_in_a_new_generation()
    {
        replica member;
        start_move(member);
        change(member, step_move{key, per_mille(200)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200}, timing(member).next_share.count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, member.state().config()->generation.value());
    }

    void a_step_above_the_cap_has_no_effect()
    {
        replica member;
        start_move(member);
        change(member, step_move{key, per_mille(301)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(member).next_share.count());
        CPPUNIT_ASSERT(member.state().last_change().outcome == change_outcome::refused);
    }

    void a_step_of_an_older_move_has_no_effect()
    {
        replica member;
        start_move(member);
        change(member, step_move{{key.route, note_number(1)}, per_mille(200)});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(member).next_share.count());
    }

    void a_done_move_gives_the_route_the_new_version()
    {
        replica member;
        start_move(member);
        change(member, end_move{key, move_outcome::done, "all steps held"});
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), timing(member).version.value());
        CPPUNIT_ASSERT_EQUAL(std::string(), timing(member).next.value());
        CPPUNIT_ASSERT(member.state().moves().empty());
        CPPUNIT_ASSERT_EQUAL(std::string("all steps held"),
                             member.state().ended_moves()[0].evidence);
    }

    void a_rolled_back_move_leaves_the_old_version()
    {
        replica member;
        start_move(member);
        change(member, step_move{key, per_mille(200)});
        change(member, end_move{key, move_outcome::taken_back, "it fails"});
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), timing(member).version.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(member).next_share.count());
    }

    void a_second_end_of_a_move_has_no_effect()
    {
        replica member;
        start_move(member);
        change(member, end_move{key, move_outcome::done, "first"});
        change(member, end_move{key, move_outcome::taken_back, "second"});
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), timing(member).version.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, member.state().ended_moves().size());
    }

    void a_loaded_snapshot_restores_the_state_and_the_history()
    {
        replica member;
        start_move(member);
        replica other;
        load(other, save(member));
        CPPUNIT_ASSERT(*member.state().config() == *other.state().config());
        CPPUNIT_ASSERT(member.state().moves() == other.state().moves());
        auto const resent = other.commit<note_answer>(submission(move_note()));
        CPPUNIT_ASSERT(resent.result.outcome == change_outcome::accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, resent.result.generation.value());
    }

    void a_snapshot_with_a_lower_generation_is_rejected()
    {
        replica member;
        auto const old_snapshot = save(member);
        start_move(member);
        CPPUNIT_ASSERT_THROW(load(member, old_snapshot), invariant_violated);
    }

    void an_expired_note_number_is_a_conflict()
    {
        replica member;
        fleet_snapshot snapshot;
        snapshot.forgotten = note_number(50);
        load(member, {any_message::of(snapshot)});
        auto const expired = member.commit<note_answer>(submission(first_note(50)));
        CPPUNIT_ASSERT(expired.result.outcome == change_outcome::conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("/number"), expired.result.failed[0].place);
        auto const next = member.commit<note_answer>(submission(first_note(51)));
        CPPUNIT_ASSERT(next.result.outcome == change_outcome::accepted);
    }

    void the_oldest_note_expires_rather_than_the_lowest_number()
    {
        constexpr std::uint64_t max_notes = 5000;
        replica member;
        fleet_snapshot snapshot;
        for (std::uint64_t n = 1; n <= max_notes; ++n)
            snapshot.notes[note_number(n + 10)] = {note_number(n + 10), {}, generation_id(n), ""};
        fleet_config config{.generation = generation_id(max_notes)};
        snapshot.plan.config = std::make_shared<fleet_config const>(config);
        load(member, {any_message::of(snapshot)});
        member.commit<note_answer>(submission(first_note(5)));
        auto const resent = member.commit<note_answer>(submission(first_note(5)));
        CPPUNIT_ASSERT(resent.result.outcome == change_outcome::accepted);
        CPPUNIT_ASSERT(member.state().find_note(note_number(11)) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{max_notes}, member.state().notes().size());
    }

private:
    static void start_move(replica& member)
    {
        member.commit<note_answer>(submission(first_note()));
        member.commit<note_answer>(submission(move_note()));
    }

    template <class Change>
    static void change(replica& member, Change const& command)
    {
        member.state().propose_change(command);
        member.log().commit_all();
        member.tick();
    }

    static std::vector<any_message> save(replica& member)
    {
        member.log().wants_snapshot = true;
        member.tick();
        return member.log().saved_snapshot;
    }

    static void load(replica& member, std::vector<any_message> parts)
    {
        member.log().snapshot_to_load = std::move(parts);
        member.tick();
    }

    static route_config const& timing(replica& member)
    {
        return member.state().config()->routes.at(route_id("timing"));
    }

    inline static move_key const key{route_id("timing"), note_number(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_state_test);

} // namespace

} // namespace mulberryrudder::control::testing
