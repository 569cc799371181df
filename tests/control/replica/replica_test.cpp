#include "fake_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr std::uint64_t seed = 20261204;

bool recorded(fake_group& group, std::uint32_t id, std::string const& name)
{
    auto const& names = group.at(id).events.names;
    return std::find(names.begin(), names.end(), name) != names.end();
}

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(a_group_of_one_founds_itself_and_leads_at_once);
    CPPUNIT_TEST(a_group_of_three_founds_itself_once_all_are_there);
    CPPUNIT_TEST(a_value_reaches_all_replicas);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_group_of_one_founds_itself_and_leads_at_once()
    {
        fake_group group(1, seed);
        group.start(1);
        group.run_for(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(1U, group.acting());
        CPPUNIT_ASSERT(group.propose(7));
        group.run_for(milliseconds(20));
        CPPUNIT_ASSERT(group.has_value(1, 7));
    }

    void a_group_of_three_founds_itself_once_all_are_there()
    {
        fake_group group(3, seed);
        group.start(1);
        group.start(2);
        group.run_for(seconds(10));
        CPPUNIT_ASSERT_EQUAL(0U, group.acting());
        group.start(3);
        group.run_for(seconds(3));
        CPPUNIT_ASSERT(group.acting() != 0);
        CPPUNIT_ASSERT(recorded(group, 1, "replica.founded"));
    }

    void a_value_reaches_all_replicas()
    {
        fake_group group(3, seed);
        for (auto const id : {1U, 2U, 3U})
            group.start(id);
        group.run_for(seconds(3));
        CPPUNIT_ASSERT(group.propose(7));
        group.run_for(seconds(1));
        for (auto const id : {1U, 2U, 3U})
            CPPUNIT_ASSERT(group.has_value(id, 7));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace

} // namespace mulberryrudder::control::testing
