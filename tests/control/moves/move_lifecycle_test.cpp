#include "plugins/control/moves/move_lifecycle.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mulberryrudder::control
{

namespace
{

/// Writes down what the life cycle asks for.
class noted_actions final : public move_actions
{
public:
    void step_up() override { noted += "step "; }
    void hold() override { noted += "hold "; }
    void go_on() override { noted += "go_on "; }
    void watch() override { noted += "watch "; }
    void finish() override { noted += "finish "; }
    void take_back() override { noted += "take_back "; }

    std::string noted;
};

class move_lifecycle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(move_lifecycle_test);
    CPPUNIT_TEST(a_good_move_steps_is_watched_and_finishes);
    CPPUNIT_TEST(a_held_move_takes_no_step);
    CPPUNIT_TEST(a_fault_takes_the_move_back_in_every_phase);
    CPPUNIT_TEST(a_move_that_is_taken_back_stays_so);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_good_move_steps_is_watched_and_finishes()
    {
        for (auto const it : {move_happening::step_due, move_happening::step_due,
                              move_happening::cap_reached, move_happening::watch_over})
            cycle_.process(it);
        CPPUNIT_ASSERT_EQUAL(std::string("step step watch finish "), actions_.noted);
        CPPUNIT_ASSERT(move_phase::finishing == cycle_.phase());
    }

    void a_held_move_takes_no_step()
    {
        for (auto const it : {move_happening::measurements_missing, move_happening::step_due,
                              move_happening::measurements_back, move_happening::step_due})
            cycle_.process(it);
        CPPUNIT_ASSERT_EQUAL(std::string("hold go_on step "), actions_.noted);
    }

    void a_fault_takes_the_move_back_in_every_phase()
    {
        for (auto const before : {move_happening::step_due, move_happening::measurements_missing,
                                  move_happening::cap_reached})
        {
            noted_actions actions;
            move_lifecycle it(actions);
            it.process(before);
            it.process(move_happening::fault_seen);
            CPPUNIT_ASSERT(move_phase::taking_back == it.phase());
        }
        cycle_.process(move_happening::cap_reached);
        cycle_.process(move_happening::watch_over);
        cycle_.process(move_happening::fault_seen);
        CPPUNIT_ASSERT(move_phase::taking_back == cycle_.phase());
    }

    void a_move_that_is_taken_back_stays_so()
    {
        cycle_.process(move_happening::fault_seen);
        for (auto const it : {move_happening::step_due, move_happening::cap_reached,
                              move_happening::watch_over, move_happening::measurements_back})
            cycle_.process(it);
        CPPUNIT_ASSERT(move_phase::taking_back == cycle_.phase());
    }

private:
    noted_actions actions_;
    move_lifecycle cycle_{actions_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(move_lifecycle_test);

} // namespace

} // namespace mulberryrudder::control
