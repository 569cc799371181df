#include "plugins/control/roster/entry_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

messages::entry_notice entry(std::uint32_t id, std::string const& region, std::string const& domain,
                             std::int64_t demand = 0, bool ready = true)
{
    messages::entry_notice out{.ready = ready};
    out.who = {.id = instance_id(id),
               .region = region_id(region),
               .domain = domain_id(domain),
               .peer = {},
               .caller = {"10.0.0.1", static_cast<std::uint16_t>(id)}};
    if (demand != 0)
        out.demand[customer_id("c")] = millitokens_per_second(demand);
    return out;
}

class entry_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_table_test);
    CPPUNIT_TEST(callers_are_sent_to_their_own_failure_domain);
    CPPUNIT_TEST(then_to_their_region_then_to_any);
    CPPUNIT_TEST(an_entry_that_is_not_ready_is_not_named);
    CPPUNIT_TEST(a_silent_entry_is_forgotten);
    CPPUNIT_TEST(what_others_heard_earlier_changes_nothing);
    CPPUNIT_TEST(each_report_is_told_on_once);
    CPPUNIT_TEST(rates_are_divided_by_what_is_asked);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        it_.take_own(entry(1, "m", "m-a"), now_);
        it_.take_own(entry(2, "m", "m-b"), now_);
        it_.take_own(entry(3, "e", "e-a"), now_);
    }

    void callers_are_sent_to_their_own_failure_domain() { expect("m", "m-b", {2}); }

    void then_to_their_region_then_to_any()
    {
        expect("m", "m-c", {1, 2});
        expect("u", "u-a", {1, 2, 3});
    }

    void an_entry_that_is_not_ready_is_not_named()
    {
        it_.take_own(entry(2, "m", "m-b", 0, false), now_);
        expect("m", "m-b", {1});
    }

    void a_silent_entry_is_forgotten()
    {
        now_ += seconds(3);
        it_.take_own(entry(1, "m", "m-a"), now_);
        it_.expire(now_ - milliseconds(2500));
        expect("e", "e-a", {1});
    }

    void what_others_heard_earlier_changes_nothing()
    {
        auto old = entry(1, "m", "m-a", 0, false);
        old.age = milliseconds(500);
        it_.take_told(old, now_);
        expect("m", "m-a", {1});
        old.age = milliseconds(0);
        it_.take_told(old, now_ + seconds(1));
        expect("m", "m-a", {2});
    }

    /// Pattern: exchanges are more frequent than entries' reports.
    void each_report_is_told_on_once()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it_.take_fresh(now_).size());
        CPPUNIT_ASSERT(it_.take_fresh(now_).empty());
        it_.take_own(entry(2, "m", "m-b"), now_);
        it_.take_told(entry(3, "e", "e-a"), now_ + seconds(1));
        auto const told = it_.take_fresh(now_ + milliseconds(70));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
        CPPUNIT_ASSERT(told.front().age == milliseconds(70));
    }

    void rates_are_divided_by_what_is_asked()
    {
        it_.take_own(entry(1, "m", "m-a", 8000), now_);
        it_.take_own(entry(2, "m", "m-b", 1000), now_);
        per_mille sum;
        for (std::uint32_t id = 1; id != 4; ++id)
            sum += it_.shares_of(instance_id(id)).at(customer_id("c"));
        CPPUNIT_ASSERT(sum <= whole_share);
        CPPUNIT_ASSERT(sum >= per_mille(990));
        CPPUNIT_ASSERT(it_.shares_of(instance_id(1)).at(customer_id("c")) == per_mille(750));
        CPPUNIT_ASSERT(it_.shares_of(instance_id(3)).at(customer_id("c")) == per_mille(83));
    }

private:
    void expect(std::string const& region, std::string const& domain,
                std::vector<std::uint16_t> const& ports)
    {
        std::vector<std::uint16_t> named;
        for (auto const& it : it_.ready_for(region_id(region), domain_id(domain)))
            named.push_back(it.port);
        CPPUNIT_ASSERT(named == ports);
    }

    entry_table it_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_table_test);

} // namespace

} // namespace mulberryrudder::control
