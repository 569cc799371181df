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
        out.places.push_back({instance_id(n), region_id("r" + std::to_string((n - 1) / 4)),
                              domain_id("d" + std::to_string((n - 1) / 2))});
    out.homes[customer] = region_id("r1");
    return out;
}

messages::claim_id claim(int n)
{
    return messages::claim_id(sha256(std::to_string(n)));
}

class keeper_sets_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keeper_sets_test);
    CPPUNIT_TEST(two_keepers_are_at_home_and_one_is_abroad_in_three_domains);
    CPPUNIT_TEST(keepers_are_spread_over_the_instances);
    CPPUNIT_TEST(a_lost_instance_moves_only_its_own_claims);
    CPPUNIT_TEST(a_small_fleet_gives_what_it_has);
    CPPUNIT_TEST(a_member_that_is_listed_no_more_stays_for_the_hold);
    CPPUNIT_TEST_SUITE_END();

public:
    void two_keepers_are_at_home_and_one_is_abroad_in_three_domains()
    {
        auto const view = full_view();
        for (int n = 0; n != 200; ++n)
        {
            std::set<domain_id> domains;
            int at_home = 0;
            for (auto const& id : keepers_of(claim(n), customer, view))
            {
                auto const& place = view.places[id.value() - 1];
                domains.insert(place.domain);
                at_home += place.region == region_id("r1") ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, domains.size());
            CPPUNIT_ASSERT_EQUAL(2, at_home);
        }
    }

    void keepers_are_spread_over_the_instances()
    {
        std::map<instance_id, int> loads;
        for (int n = 0; n != 4000; ++n)
            for (auto const& id : keepers_of(claim(n), customer, full_view()))
                ++loads[id];
        for (std::uint32_t n = 5; n <= 8; ++n)
            CPPUNIT_ASSERT(loads[instance_id(n)] > 1800 && loads[instance_id(n)] < 2200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, loads.size());
    }

    void a_lost_instance_moves_only_its_own_claims()
    {
        auto view = full_view();
        view.places.erase(view.places.begin() + 4);
        for (int n = 0; n != 500; ++n)
        {
            auto const before = keepers_of(claim(n), customer, full_view());
            bool const had =
                std::find(before.begin(), before.end(), instance_id(5)) != before.end();
            CPPUNIT_ASSERT_EQUAL(had, before != keepers_of(claim(n), customer, view));
        }
    }

    void a_small_fleet_gives_what_it_has()
    {
        keeper_view view;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, keepers_of(claim(1), customer, view).size());
        view.places.push_back({instance_id(1), region_id("r"), domain_id("d")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keepers_of(claim(1), customer, view).size());
    }

    void a_member_that_is_listed_no_more_stays_for_the_hold()
    {
        instant const start{seconds(100)};
        seen_members it(seconds(30));
        it.see({{.where = {.id = instance_id(1)}}}, start);
        it.see({}, start + seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.view({}).places.size());
        it.see({}, start + seconds(31));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.view({}).places.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keeper_sets_test);

} // namespace

} // namespace mulberryrudder::entry
