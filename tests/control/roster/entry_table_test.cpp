#include "plugins/control/roster/entry_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

messages::entry_notice entry(std::uint32_t id, std::string const& region, std::string const& domain,
                             bool ready = true)
{
    messages::entry_notice out{.ready = ready};
    out.who = {.id = instance_id(id),
               .region = region_id(region),
               .domain = domain_id(domain),
               .peer = {},
               .caller = {"10.0.0.1", static_cast<std::uint16_t>(id)}};
    return out;
}

class entry_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_table_test);
    CPPUNIT_TEST(look_ups_return_entries_of_the_callers_failure_domain);
    CPPUNIT_TEST(look_ups_fall_back_to_the_region_and_then_to_all_entries);
    CPPUNIT_TEST(look_ups_omit_entries_that_are_not_ready);
    CPPUNIT_TEST(an_entry_without_recent_notices_expires);
    CPPUNIT_TEST(an_older_forwarded_notice_is_ignored);
    CPPUNIT_TEST(each_notice_is_forwarded_once);
    CPPUNIT_TEST(an_unchanged_notice_is_forwarded_whole_only_now_and_then);
    CPPUNIT_TEST(an_entry_that_reports_elsewhere_without_a_change_does_not_expire);
    CPPUNIT_TEST(the_own_part_counts_entries_that_report_to_this_instance);
    CPPUNIT_TEST(an_entry_that_changes_its_control_instance_leaves_the_own_part);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        table_.update_from_entry(entry(1, "m", "m-a"), now_);
        table_.update_from_entry(entry(2, "m", "m-b"), now_);
        table_.update_from_entry(entry(3, "e", "e-a"), now_);
    }

    void look_ups_return_entries_of_the_callers_failure_domain() { expect_ready("m", "m-b", {2}); }

    void look_ups_fall_back_to_the_region_and_then_to_all_entries()
    {
        expect_ready("m", "m-c", {1, 2});
        expect_ready("u", "u-a", {1, 2, 3});
    }

    void look_ups_omit_entries_that_are_not_ready()
    {
        table_.update_from_entry(entry(2, "m", "m-b", false), now_);
        expect_ready("m", "m-b", {1});
    }

    void an_entry_without_recent_notices_expires()
    {
        now_ += seconds(3);
        table_.update_from_entry(entry(1, "m", "m-a"), now_);
        table_.expire(now_ - milliseconds(2500));
        expect_ready("e", "e-a", {1});
    }

    void an_older_forwarded_notice_is_ignored()
    {
        auto old = entry(1, "m", "m-a", false);
        old.age = milliseconds(500);
        table_.update_from_control(old, now_);
        expect_ready("m", "m-a", {1});
        old.age = milliseconds(0);
        table_.update_from_control(old, now_ + seconds(1));
        expect_ready("m", "m-a", {2});
    }

    // Exchanges between control instances are more frequent than the reports of entries.
    void each_notice_is_forwarded_once()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table_.take_unforwarded(now_).notices.size());
        expect_nothing_to_forward();
        table_.update_from_entry(entry(2, "m", "m-b", false), now_);
        table_.update_from_control(entry(3, "e", "e-a"), now_ + seconds(1));
        auto const forwarded = table_.take_unforwarded(now_ + milliseconds(70));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.notices.size());
        CPPUNIT_ASSERT(forwarded.notices.front().age == milliseconds(70));
        expect_nothing_to_forward();
    }

    // Guards against traffic between control instances that repeats what all of them know.
    void an_unchanged_notice_is_forwarded_whole_only_now_and_then()
    {
        table_.take_unforwarded(now_);
        table_.update_from_entry(entry(2, "m", "m-b"), now_ + seconds(1));
        auto const forwarded = table_.take_unforwarded(now_ + seconds(1));
        CPPUNIT_ASSERT(forwarded.notices.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.unchanged.size());
        CPPUNIT_ASSERT(forwarded.unchanged.front().id == instance_id(2));
        table_.update_from_entry(entry(2, "m", "m-b"), now_ + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             table_.take_unforwarded(now_ + seconds(2)).notices.size());
    }

    void an_entry_that_reports_elsewhere_without_a_change_does_not_expire()
    {
        table_.refresh({.id = instance_id(3), .boot = {}}, now_ + seconds(2));
        table_.refresh({.id = instance_id(2), .boot = boot_id(7)}, now_ + seconds(2));
        table_.expire(now_ + seconds(1));
        expect_ready("e", "e-a", {3});
        expect_ready("m", "m-b", {3});
    }

    void the_own_part_counts_entries_that_report_to_this_instance()
    {
        table_.update_from_control(entry(4, "e", "e-b"), now_);
        CPPUNIT_ASSERT(table_.part_reported_since(now_) == per_mille(750));
    }

    // Guards against QUOTA: an entry would belong to the parts of two control instances.
    void an_entry_that_changes_its_control_instance_leaves_the_own_part()
    {
        auto const left = now_ + milliseconds(1500);
        table_.update_from_entry(entry(1, "m", "m-a"), left);
        table_.update_from_entry(entry(2, "m", "m-b"), left);
        table_.update_from_control(entry(3, "e", "e-a"), left);
        CPPUNIT_ASSERT(table_.part_reported_since(left - seconds(1)) == per_mille(666));
    }

private:
    void expect_nothing_to_forward()
    {
        auto const forwarded = table_.take_unforwarded(now_);
        CPPUNIT_ASSERT(forwarded.notices.empty());
        CPPUNIT_ASSERT(forwarded.unchanged.empty());
    }

    void expect_ready(std::string const& region, std::string const& domain,
                      std::vector<std::uint16_t> const& ports)
    {
        std::vector<std::uint16_t> ready_ports;
        for (auto const& it : table_.ready_for(region_id(region), domain_id(domain)))
            ready_ports.push_back(it.port);
        CPPUNIT_ASSERT(ready_ports == ports);
    }

    entry_table table_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_table_test);

} // namespace

} // namespace mulberryrudder::control
