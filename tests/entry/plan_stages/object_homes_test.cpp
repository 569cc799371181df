#include "plugins/entry/placement/object_homes.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

namespace mulberryrudder::entry
{

namespace
{

struct sample_target
{
    target_id id;
    slots capacity;
};

std::vector<sample_target> sample_targets(std::size_t size)
{
    std::vector<sample_target> out;
    for (std::size_t n = 0; n != size; ++n)
        out.push_back({target_id("i-" + std::to_string(n)), slots(8)});
    return out;
}

target_id home_of(object_id const& object, std::vector<sample_target> const& all)
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
    CPPUNIT_TEST(removing_a_target_moves_only_its_own_objects);
    CPPUNIT_TEST(adding_a_target_moves_only_the_objects_that_it_gets);
    CPPUNIT_TEST(objects_are_distributed_in_proportion_to_slots);
    CPPUNIT_TEST(object_fractions_are_uniformly_distributed);
    CPPUNIT_TEST_SUITE_END();

public:
    void removing_a_target_moves_only_its_own_objects()
    {
        for (std::size_t const size : {30U, 100U, 500U})
        {
            auto const before = sample_targets(size);
            auto after = before;
            auto const removed = after.back().id;
            after.pop_back();
            for (int n = 0; n != 500; ++n)
                if (auto const home = home_of(object(n), before); home != removed)
                    CPPUNIT_ASSERT(home == home_of(object(n), after));
        }
    }

    void adding_a_target_moves_only_the_objects_that_it_gets()
    {
        auto const before = sample_targets(30);
        auto const after = sample_targets(31);
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

    void objects_are_distributed_in_proportion_to_slots()
    {
        auto all = sample_targets(4);
        all.front().capacity = slots(24);
        std::map<target_id, int> object_counts;
        for (int n = 0; n != 6000; ++n)
            ++object_counts[home_of(object(n), all)];
        auto const first_count = object_counts[all.front().id];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(first_count),
                               first_count > 2700 && first_count < 3300);
    }

    void object_fractions_are_uniformly_distributed()
    {
        int low = 0;
        for (int n = 0; n != 2000; ++n)
        {
            auto const fraction = object_fraction(object(n), "region");
            CPPUNIT_ASSERT(fraction >= 0 && fraction < 1);
            low += fraction < 0.25;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(low), low > 420 && low < 580);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_homes_test);

} // namespace

} // namespace mulberryrudder::entry
