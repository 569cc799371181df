#include "plugins/entry/claims/keeper_sets.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace mulberryrudder::entry
{

namespace
{

customer_id const customer("bib");

/// Returns 3 regions of 2 failure domains with 2 instances each.
keeper_view full_view()
{
    keeper_view out;
    for (std::uint32_t n = 1; n <= 12; ++n)
        out.members.push_back({instance_id(n), region_id("r" + std::to_string((n - 1) / 4)),
                               domain_id("d" + std::to_string((n - 1) / 2))});
    out.homes[customer] = region_id("r1");
    return out;
}

messages::claim_id claim_number(int n)
{
    return messages::claim_id(sha256(std::to_string(n)));
}

class keeper_sets_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keeper_sets_test);
    CPPUNIT_TEST(two_keepers_are_in_the_home_region_and_one_in_another_in_three_domains);
    CPPUNIT_TEST(keepers_are_spread_over_the_instances);
    CPPUNIT_TEST(removing_an_instance_changes_the_keepers_of_its_claims_only);
    CPPUNIT_TEST(a_small_fleet_has_fewer_keepers);
    CPPUNIT_TEST(a_member_that_is_no_longer_listed_stays_for_the_hold_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void two_keepers_are_in_the_home_region_and_one_in_another_in_three_domains()
    {
        auto const view = full_view();
        for (int n = 0; n != 200; ++n)
        {
            std::set<domain_id> domains;
            int in_home_region = 0;
            for (auto const& id : keepers_of(claim_number(n), customer, view))
            {
                auto const& member = view.members[id.value() - 1];
                domains.insert(member.domain);
                in_home_region += member.region == region_id("r1") ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, domains.size());
            CPPUNIT_ASSERT_EQUAL(2, in_home_region);
        }
    }

    void keepers_are_spread_over_the_instances()
    {
        std::map<instance_id, int> loads;
        for (int n = 0; n != 4000; ++n)
            for (auto const& id : keepers_of(claim_number(n), customer, full_view()))
                ++loads[id];
        for (std::uint32_t n = 5; n <= 8; ++n)
            CPPUNIT_ASSERT(loads[instance_id(n)] > 1800 && loads[instance_id(n)] < 2200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, loads.size());
    }

    void removing_an_instance_changes_the_keepers_of_its_claims_only()
    {
        auto view = full_view();
        view.members.erase(view.members.begin() + 4);
        for (int n = 0; n != 500; ++n)
        {
            auto const before = keepers_of(claim_number(n), customer, full_view());
            bool const was_keeper =
                std::find(before.begin(), before.end(), instance_id(5)) != before.end();
            CPPUNIT_ASSERT_EQUAL(was_keeper, before != keepers_of(claim_number(n), customer, view));
        }
    }

    void a_small_fleet_has_fewer_keepers()
    {
        keeper_view view;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, keepers_of(claim_number(1), customer, view).size());
        view.members.push_back({instance_id(1), region_id("r"), domain_id("d")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keepers_of(claim_number(1), customer, view).size());
    }

    void a_member_that_is_no_longer_listed_stays_for_the_hold_time()
    {
        instant const start{seconds(100)};
        known_members members(seconds(30));
        members.update({{.where = {.id = instance_id(1)}}}, start);
        members.update({}, start + seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members.make_view({}).members.size());
        members.update({}, start + seconds(31));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, members.make_view({}).members.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keeper_sets_test);

} // namespace

} // namespace mulberryrudder::entry
