#include "naive_plan.hpp"
#include "random_note.hpp"

#include <plugins/control/fleet_state/note_application.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint64_t history_count = 300;
constexpr std::uint64_t notes_per_history = 200;

std::string describe_outcome(internal::applied_note const& it)
{
    return it.failed.empty() ? "accepted" : it.failed[0].place + ": " + it.failed[0].expected;
}

/// Applies sequences of random notes to a plan and to the naive model of it.
class note_differential_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(note_differential_test);
    CPPUNIT_TEST(a_note_has_the_same_effect_as_in_the_naive_model);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_note_has_the_same_effect_as_in_the_naive_model()
    {
        for (std::uint64_t seed = 1; seed <= history_count; ++seed)
            compare(seed);
        CPPUNIT_ASSERT_MESSAGE("too few notes were accepted to compare",
                               accepted_ > history_count * notes_per_history / 10);
    }

private:
    void compare(std::uint64_t seed)
    {
        random_source random(seed);
        fleet_plan plan;
        for (std::uint64_t n = 1; n <= notes_per_history; ++n)
        {
            auto const note = random_note(random, note_number(n));
            auto const actual = internal::apply_note(plan, note);
            auto const expected = apply_naively(flatten(plan), note);
            auto const location =
                "seed " + std::to_string(seed) + ", note " + std::to_string(n) + ": ";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(location + describe_outcome(actual), expected.has_value(),
                                         actual.failed.empty());
            if (!expected)
                continue;
            CPPUNIT_ASSERT_MESSAGE(location + "different state",
                                   flatten(actual.after) == *expected);
            plan = actual.after;
            raise_shares(plan, random);
            ++accepted_;
        }
    }

    /// Sets the share of each move to a random value up to its cap, as committed steps do.
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
