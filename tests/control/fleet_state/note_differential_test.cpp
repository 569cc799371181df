#include "naive_plan.hpp"
#include "random_note.hpp"

#include <plugins/control/fleet_state/note_application.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint64_t histories = 300;
constexpr std::uint64_t notes_a_history = 200;

std::string first_failure(internal::applied_note const& it)
{
    return it.failed.empty() ? "accepted" : it.failed[0].place + ": " + it.failed[0].expected;
}

/// Applies random notes one after another, in both ways.
class note_differential_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(note_differential_test);
    CPPUNIT_TEST(a_note_does_the_same_as_in_the_naive_version);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_note_does_the_same_as_in_the_naive_version()
    {
        for (std::uint64_t seed = 1; seed <= histories; ++seed)
            compare(seed);
        CPPUNIT_ASSERT_MESSAGE("too few notes were accepted to compare",
                               accepted_ > histories * notes_a_history / 10);
    }

private:
    void compare(std::uint64_t seed)
    {
        random_source random(seed);
        fleet_plan plan;
        for (std::uint64_t n = 1; n <= notes_a_history; ++n)
        {
            auto const note = random_note(random, note_number(n));
            auto const got = internal::apply_note(plan, note);
            auto const wanted = apply_naively(flatten(plan), note);
            auto const where =
                "seed " + std::to_string(seed) + ", note " + std::to_string(n) + ": ";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where + first_failure(got), wanted.has_value(),
                                         got.failed.empty());
            if (!wanted)
                continue;
            CPPUNIT_ASSERT_MESSAGE(where + "other state", flatten(got.after) == *wanted);
            plan = got.after;
            raise_shares(plan, random);
            ++accepted_;
        }
    }

    /// Gives the moves a share, as steps would.
    static void raise_shares(fleet_plan& plan, random_source& random)
    {
        auto config = *plan.config;
        for (auto const& [id, it] : plan.moves)
            config.routes.at(id).next_share =
                per_mille(static_cast<std::int64_t>(random() % (it.terms.cap.count() + 1)));
        plan.config = std::make_shared<fleet_config const>(std::move(config));
    }

    std::uint64_t accepted_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(note_differential_test);

} // namespace

} // namespace mulberryrudder::control::testing
