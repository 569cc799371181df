#include "plugins/entry/placement/object_homes.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

namespace mulberryrudder::entry
{

namespace
{

struct place
{
    target_id id;
    slots capacity;
};

std::vector<place> fleet(std::size_t size)
{
    std::vector<place> out;
    for (std::size_t n = 0; n != size; ++n)
        out.push_back({target_id("i-" + std::to_string(n)), slots(8)});
    return out;
}

target_id home_of(object_id const& object, std::vector<place> const& all)
{
    target_id out;
    double best = -1;
    for (auto const& it : all)
        if (auto const score = home_score(object, it.id, it.capacity); score > best)
        {
            best = score;
            out = it.id;
        }
    return out;
}

object_id object(int n)
{
    return object_id(std::to_string(n));
}

class object_homes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(object_homes_test);
    CPPUNIT_TEST(a_lost_target_moves_only_its_own_objects);
    CPPUNIT_TEST(a_new_target_takes_its_part_and_moves_nothing_else);
    CPPUNIT_TEST(objects_follow_the_slots);
    CPPUNIT_TEST(fractions_are_spread_evenly);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_lost_target_moves_only_its_own_objects()
    {
        for (std::size_t const size : {30U, 100U, 500U})
        {
            auto const before = fleet(size);
            auto after = before;
            auto const lost = after.back().id;
            after.pop_back();
            for (int n = 0; n != 500; ++n)
                if (auto const home = home_of(object(n), before); home != lost)
                    CPPUNIT_ASSERT(home == home_of(object(n), after));
        }
    }

    void a_new_target_takes_its_part_and_moves_nothing_else()
    {
        auto const before = fleet(30);
        auto const after = fleet(31);
        int moved = 0;
        for (int n = 0; n != 3100; ++n)
        {
            auto const home = home_of(object(n), after);
            if (home == home_of(object(n), before))
                continue;
            ++moved;
            CPPUNIT_ASSERT(home == after.back().id);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved > 50 && moved < 160);
    }

    void objects_follow_the_slots()
    {
        auto all = fleet(4);
        all.front().capacity = slots(24);
        std::map<target_id, int> held;
        for (int n = 0; n != 6000; ++n)
            ++held[home_of(object(n), all)];
        auto const part = held[all.front().id];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(part), part > 2700 && part < 3300);
    }

    void fractions_are_spread_evenly()
    {
        int low = 0;
        for (int n = 0; n != 2000; ++n)
        {
            auto const it = object_fraction(object(n), "region");
            CPPUNIT_ASSERT(it >= 0 && it < 1);
            low += it < 0.25;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(low), low > 420 && low < 580);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_homes_test);

} // namespace

} // namespace mulberryrudder::entry
