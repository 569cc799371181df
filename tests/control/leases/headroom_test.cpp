#include <plugins/control/ledger/ledger.hpp>
#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

/// Six entries in three domains: d0 and d1 in region r0, d2 in r1.
class headroom_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(headroom_test);
    CPPUNIT_TEST(grants_into_a_domain_stay_within_its_free_slots);
    CPPUNIT_TEST(the_free_slots_of_a_domains_entries_add_up);
    CPPUNIT_TEST(a_crowded_domain_gets_more);
    CPPUNIT_TEST(a_new_leader_grants_nothing_for_a_lease);
    CPPUNIT_TEST(a_link_cap_bounds_what_goes_over_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        fleet_ = std::make_unique<lease_fleet>(
            fleet_options{.entries = 6, .controls = 2, .domains = 3, .domains_per_region = 2});
        fleet_->commit(lease_fleet::plain_config(1, {}));
        for (unsigned n = 0; n != 6; ++n)
            report(n, 100, 50);
        fleet_->elect(0);
        fleet_->run_for(seconds(9));
    }

    void grants_into_a_domain_stay_within_its_free_slots()
    {
        std::mt19937_64 random(20261204);
        for (int n = 0; n != 200; ++n)
        {
            report(static_cast<unsigned>(random() % 6), 100, static_cast<int>(random() % 101));
            fleet_->run_for(milliseconds(random() % 500));
        }
        for (unsigned n = 0; n != 6; ++n)
            report(n, 100, 80);
        fleet_->run_for(seconds(9));
        for (auto const* const domain : {"d0", "d1", "d2"})
            CPPUNIT_ASSERT(granted_into(domain) <= 20 && granted_into(domain) > 0);
    }

    void the_free_slots_of_a_domains_entries_add_up()
    {
        report(2, 100, 100);
        report(5, 100, 0);
        fleet_->run_for(seconds(9));
        // Entry 2 has no free slot, but its sibling has 50.
        CPPUNIT_ASSERT(granted_into("d2") > 0);
    }

    void a_crowded_domain_gets_more()
    {
        auto const before = granted(0, "d2");
        report(0, 100, 100);
        fleet_->run_for(seconds(4));
        CPPUNIT_ASSERT(granted(0, "d2") > 2 * before);
    }

    void a_new_leader_grants_nothing_for_a_lease()
    {
        CPPUNIT_ASSERT(granted(0, "d2") > 0);
        fleet_->elect(1);
        fleet_->run_for(milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, granted(0, "d2"));
        fleet_->run_for(seconds(4));
        CPPUNIT_ASSERT(granted(0, "d2") > 0);
    }

    void a_link_cap_bounds_what_goes_over_it()
    {
        auto config = lease_fleet::plain_config(2, {});
        config.link_caps[{region_id("r0"), region_id("r1")}] = bytes_per_second(5'000'000);
        fleet_->commit(config);
        fleet_->elect(1);
        fleet_->run_for(seconds(9));
        std::int64_t over = 0;
        for (unsigned const n : {0, 1, 3, 4})
            over += granted(n, "d2");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, over);
    }

private:
    void report(unsigned entry, int usable, int busy)
    {
        // Two entries share each domain, and each reports its own half.
        fleet_->probe(entry).load = {{.domain = domain_id("d" + std::to_string(entry % 3)),
                                      .usable = slots(usable / 2),
                                      .busy = slots(busy / 2)}};
    }
    std::int64_t granted(unsigned entry, std::string const& into) const
    {
        for (auto const& it : fleet_->probe(entry).last_lease.headroom)
            if (it.to == domain_id(into))
                return it.running.count();
        return 0;
    }
    std::int64_t granted_into(std::string const& domain) const
    {
        std::int64_t sum = 0;
        for (unsigned n = 0; n != 6; ++n)
            sum += granted(n, domain);
        return sum;
    }

    std::unique_ptr<lease_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(headroom_test);

} // namespace

} // namespace mulberryrudder::test
