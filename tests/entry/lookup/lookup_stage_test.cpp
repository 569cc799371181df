#include "plugins/entry/lookup/lookup_settings.hpp"
#include "tests/entry/routing_support/rig.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace mulberryrudder::entry
{

namespace
{

/// Returns settings with one block of clients, at a site near to ege, then marmara.
kernel::settings settings_with_izmir()
{
    auto out = kernel::settings::defaults();
    client_block block;
    parse_client_block("10.0.0.0/8", block);
    auto const file = std::make_shared<block_file const>(
        block_file{.sites = {"izmir"}, .table = block_table({{block, site_index(0)}})});
    out.set(lookup_section,
            {.blocks = {file},
             .sites = {{.name = "izmir", .nearest = {region_id("ege"), region_id("marmara")}}}});
    return out;
}

class lookup_stage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lookup_stage_test);
    CPPUNIT_TEST(the_nearest_region_goes_first_and_the_next_one_last);
    CPPUNIT_TEST(clients_of_no_known_block_get_this_region);
    CPPUNIT_TEST(dead_stopping_and_draining_instances_are_left_out);
    CPPUNIT_TEST(an_instance_that_stops_no_longer_names_itself);
    CPPUNIT_TEST(full_instances_are_left_out_unless_all_are_full);
    CPPUNIT_TEST(clients_are_spread_by_headroom);
    CPPUNIT_TEST(a_client_gets_the_same_answer_again);
    CPPUNIT_TEST(the_second_instance_is_in_another_failure_domain);
    CPPUNIT_TEST(times_to_live_are_spread);
    CPPUNIT_TEST(without_a_lease_the_own_failure_domain_is_named_for_a_short_time);
    CPPUNIT_TEST(before_the_first_lease_the_instance_names_itself);
    CPPUNIT_TEST(an_unknown_route_gets_an_empty_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_nearest_region_goes_first_and_the_next_one_last()
    {
        it_.lease(fleet_);
        auto const answer = ask("10.1.2.3");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e"), answer[0].substr(0, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("e"), answer[1].substr(0, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("m"), answer[2].substr(0, 1));
    }

    void clients_of_no_known_block_get_this_region()
    {
        it_.lease(fleet_);
        CPPUNIT_ASSERT_EQUAL(std::string("m"), ask("192.0.2.1").at(0).substr(0, 1));
    }

    void dead_stopping_and_draining_instances_are_left_out()
    {
        fleet_[0].live = false;
        fleet_[1].stopping = true;
        auto config = *config_with();
        config.draining.insert(instance_id(11));
        it_.lease(fleet_, std::make_shared<fleet_config const>(config));
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), ask("10.1.2.3").at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ask("10.1.2.3").size());
    }

    void an_instance_that_stops_no_longer_names_itself()
    {
        it_.lease(fleet_);
        it_.tell(stop_requested{});
        for (auto const& name : ask("192.0.2.1"))
            CPPUNIT_ASSERT(name != "m1");
    }

    void full_instances_are_left_out_unless_all_are_full()
    {
        fleet_[2].free = slots(0);
        it_.lease(fleet_);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), ask("10.1.2.3").at(0));
        for (auto& it : fleet_)
            it.free = slots(0);
        it_.lease(fleet_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ask("10.1.2.3").size());
    }

    void clients_are_spread_by_headroom()
    {
        fleet_[2].free = slots(30);
        fleet_[3].free = slots(10);
        it_.lease(fleet_);
        std::map<std::string, int> first;
        for (int n = 0; n != 4000; ++n)
            ++first[ask("10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250)).at(0)];
        // Three quarters of 4000, to within two of the 64 variants.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(first["e1"]),
                               first["e1"] > 2600 && first["e1"] < 3400);
    }

    void a_client_gets_the_same_answer_again()
    {
        it_.lease(fleet_);
        auto const before = ask("10.1.2.3");
        it_.lease(fleet_);
        CPPUNIT_ASSERT(before == ask("10.1.2.3"));
    }

    void the_second_instance_is_in_another_failure_domain()
    {
        fleet_.push_back(member_of(instance_at(13, "ege", "e1")));
        fleet_.push_back(member_of(instance_at(14, "ege", "e1")));
        it_.lease(fleet_);
        for (int n = 0; n != 200; ++n)
        {
            auto const answer = ask("10.1.2." + std::to_string(n));
            CPPUNIT_ASSERT(answer.at(0) != answer.at(1));
        }
    }

    void times_to_live_are_spread()
    {
        it_.lease(fleet_);
        std::set<milliseconds> lives;
        for (int n = 0; n != 200; ++n)
        {
            ask("10.1.2." + std::to_string(n));
            lives.insert(last_.time_to_live);
        }
        CPPUNIT_ASSERT(lives.size() > 50);
        CPPUNIT_ASSERT(*lives.begin() >= milliseconds(8000));
        CPPUNIT_ASSERT(*lives.rbegin() <= milliseconds(10000));
    }

    void without_a_lease_the_own_failure_domain_is_named_for_a_short_time()
    {
        it_.lease(fleet_);
        it_.lose_control();
        it_.pass(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("m1"), ask("10.1.2.3").at(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, last_.time_to_live.count());
    }

    void before_the_first_lease_the_instance_names_itself()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("m1"), ask("10.1.2.3").at(0));
    }

    void an_unknown_route_gets_an_empty_answer()
    {
        it_.lease(fleet_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ask("10.1.2.3", "other").size());
    }

private:
    /// Returns the failure domains that an answer names, in its order.
    std::vector<std::string> ask(std::string const& client, std::string const& route = "r")
    {
        client_address from;
        parse_client_address(client, from);
        it_.tell(lookup_arrived{.id = request_id(1), .route = route_id(route), .client = from});
        last_ = it_.take<answer_lookup>().at(0);
        std::vector<std::string> out;
        for (auto const& where : last_.instances)
            for (auto const& it : fleet_)
                if (it.where.caller == where)
                    out.push_back(it.where.domain.value());
        return out;
    }

    rig it_{rig::options{.config = settings_with_izmir()}};
    answer_lookup last_;
    std::vector<messages::member> fleet_{
        member_of(instance_at(1, "marmara", "m1")), member_of(instance_at(2, "marmara", "m2")),
        member_of(instance_at(11, "ege", "e1")), member_of(instance_at(12, "ege", "e2"))};
};

CPPUNIT_TEST_SUITE_REGISTRATION(lookup_stage_test);

} // namespace

} // namespace mulberryrudder::entry
