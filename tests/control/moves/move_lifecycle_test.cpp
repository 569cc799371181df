#include "plugins/control/moves/move_lifecycle.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberryrudder::control
{

namespace
{

/// Records the actions that the life cycle performs.
class recording_actions final : public move_actions
{
public:
    void step_up() override { calls += "step "; }
    void hold() override { calls += "hold "; }
    void resume() override { calls += "resume "; }
    void watch() override { calls += "watch "; }
    void finish() override { calls += "finish "; }
    void roll_back() override { calls += "roll_back "; }

    std::string calls;
};

class move_lifecycle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(move_lifecycle_test);
    CPPUNIT_TEST(a_move_without_fault_steps_is_watched_and_finishes);
    CPPUNIT_TEST(a_held_move_does_not_step);
    CPPUNIT_TEST(a_fault_in_any_phase_rolls_the_move_back);
    CPPUNIT_TEST(a_rollback_ignores_every_later_trigger);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_move_without_fault_steps_is_watched_and_finishes()
    {
        for (auto const trigger : {move_trigger::step_due, move_trigger::step_due,
                                   move_trigger::cap_reached, move_trigger::watch_over})
            lifecycle_.process(trigger);
        CPPUNIT_ASSERT_EQUAL(std::string("step step watch finish "), actions_.calls);
        CPPUNIT_ASSERT(move_phase::finishing == lifecycle_.phase());
    }

    void a_held_move_does_not_step()
    {
        for (auto const trigger : {move_trigger::measurements_missing, move_trigger::step_due,
                                   move_trigger::measurements_current, move_trigger::step_due})
            lifecycle_.process(trigger);
        CPPUNIT_ASSERT_EQUAL(std::string("hold resume step "), actions_.calls);
    }

    void a_fault_in_any_phase_rolls_the_move_back()
    {
        for (auto const earlier : {move_trigger::step_due, move_trigger::measurements_missing,
                                   move_trigger::cap_reached})
        {
            recording_actions actions;
            move_lifecycle lifecycle(actions);
            lifecycle.process(earlier);
            lifecycle.process(move_trigger::fault_detected);
            CPPUNIT_ASSERT(move_phase::taking_back == lifecycle.phase());
        }
        lifecycle_.process(move_trigger::cap_reached);
        lifecycle_.process(move_trigger::watch_over);
        lifecycle_.process(move_trigger::fault_detected);
        CPPUNIT_ASSERT(move_phase::taking_back == lifecycle_.phase());
    }

    void a_rollback_ignores_every_later_trigger()
    {
        lifecycle_.process(move_trigger::fault_detected);
        for (auto const trigger : {move_trigger::step_due, move_trigger::cap_reached,
                                   move_trigger::watch_over, move_trigger::measurements_current})
            lifecycle_.process(trigger);
        CPPUNIT_ASSERT(move_phase::taking_back == lifecycle_.phase());
    }

private:
    recording_actions actions_;
    move_lifecycle lifecycle_{actions_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(move_lifecycle_test);

} // namespace

} // namespace mulberryrudder::control
