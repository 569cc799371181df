#include "plugins/control/roster/control_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace mulberryrudder::control
{

namespace
{

constexpr seconds retention{20};
constexpr seconds naming_retention{3};
constexpr milliseconds exchange_interval{200};

instance_description description_of(std::uint32_t id)
{
    return {.id = instance_id(id),
            .region = region_id("r"),
            .domain = domain_id("r-a"),
            .peer = {"10.0.0.1", static_cast<std::uint16_t>(id)},
            .caller = {}};
}

class control_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_table_test);
    CPPUNIT_TEST(an_instance_that_is_gone_is_forgotten_although_others_name_it);
    CPPUNIT_TEST(an_instance_that_others_hear_is_kept);
    CPPUNIT_TEST(an_instance_that_sent_no_message_is_not_reachable);
    CPPUNIT_TEST(a_contact_that_is_gone_does_not_count);
    CPPUNIT_TEST(a_contact_that_is_back_counts_again);
    CPPUNIT_TEST(an_instance_that_was_restored_counts_until_it_is_forgotten);
    CPPUNIT_TEST(a_leave_counts_where_it_is_kept);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against CONFIG: instances that were gone for good named each other's memory of a third
    // one again and again, so that they counted as members, and no majority held an order.
    void an_instance_that_is_gone_is_forgotten_although_others_name_it()
    {
        hear(0, gone);
        pass(exchange_interval);
        hear(1, gone); // The other one hears it last a little later.
        run_for(retention + naming_retention + seconds(1));
        for (auto const& it : tables_)
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.size());
        run_for(seconds(60));
        for (auto const& it : tables_)
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.size());
    }

    void an_instance_that_others_hear_is_kept()
    {
        for (int n = 0; n != 60; ++n)
        {
            hear(1, gone);
            run_for(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tables_[0].size());
        }
    }

    void an_instance_that_sent_no_message_is_not_reachable()
    {
        auto& table = tables_[0];
        table.add(description_of(1), true, now_);
        table.add(description_of(2), true, now_);
        table.mark_members_received();
        CPPUNIT_ASSERT(!table.is_majority_reachable(now_));
        CPPUNIT_ASSERT(table.instances_since(now_).empty());
        hear(0, 1);
        CPPUNIT_ASSERT(table.is_majority_reachable(now_));
    }

    // Guards against CONFIG: instances that the settings name were counted for good. Once all of
    // them had been replaced, the loss of a region left too few of those that were counted, and no
    // order was acknowledged.
    void a_contact_that_is_gone_does_not_count()
    {
        auto& table = tables_[0];
        table.add(description_of(gone), true, now_);
        hear(0, gone);
        run_for(retention + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.size());
        CPPUNIT_ASSERT(table.rows().contains(instance_id(gone)));
    }

    void a_contact_that_is_back_counts_again()
    {
        auto& table = tables_[0];
        table.add(description_of(gone), true, now_);
        run_for(retention);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.size());
        hear(0, gone);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.size());
    }

    // Guards against an instance that takes the few others that it hears after a restart for all,
    // and against members that are gone and count for good.
    void an_instance_that_was_restored_counts_until_it_is_forgotten()
    {
        auto& table = tables_[0];
        table.add(description_of(gone), false, now_);
        table.restore(instance_id(gone), now_);
        run_for(naming_retention + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.reachable_count(now_ - seconds(1)));
        run_for(retention);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.size());
    }

    void a_leave_counts_where_it_is_kept()
    {
        control_table table;
        auto const count = [&](messages::roster_exchange exchange)
        {
            exchange.who = description_of(2);
            exchange.acknowledged_boot = boot_id(1);
            table.add(exchange.who, false, now_);
            table.record_exchange(exchange.who.id, exchange, boot_id(1), sequence_id(9), now_);
            return table.kept_count(sequence_id(5), true);
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count({.boot = boot_id(7),
                                                    .acknowledged = sequence_id(6),
                                                    .keeps_leaves = true,
                                                    .kept = sequence_id(4)}));
        // The start that `boot` names was noticed with message 9 of this instance.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count({.boot = boot_id(7),
                                                    .acknowledged = sequence_id(9),
                                                    .keeps_leaves = true,
                                                    .kept = sequence_id(9)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count({.boot = boot_id(7),
                                                    .acknowledged = sequence_id(10),
                                                    .keeps_leaves = true,
                                                    .kept = sequence_id(10)}));
        // An earlier version keeps leaves in memory only.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             count({.boot = boot_id(7), .acknowledged = sequence_id(10)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.kept_count(sequence_id(5), false));
    }

private:
    static constexpr std::uint32_t gone = 9;

    void hear(std::size_t listener, std::uint32_t sender)
    {
        auto& table = tables_[listener];
        table.add(description_of(sender), false, now_);
        table.record_exchange(instance_id(sender), {.who = description_of(sender)}, boot_id(1),
                              sequence_id(1), now_);
    }

    void pass(span elapsed) { now_ += elapsed; }

    /// Lets two instances hear each other and exchange the lists of those they know.
    void run_for(span duration)
    {
        for (auto const end = now_ + duration; now_ < end; pass(exchange_interval))
        {
            hear(0, 2);
            hear(1, 1);
            for (auto& it : tables_)
                it.expire(now_ - retention, now_ - naming_retention);
            std::array const lists{tables_[0].instances_since(now_ - retention),
                                   tables_[1].instances_since(now_ - retention)};
            for (std::size_t n = 0; n != tables_.size(); ++n)
                for (auto const& it : lists.at(1 - n))
                    if (it.id != instance_id(static_cast<std::uint32_t>(n + 1)))
                        tables_.at(n).add(it, false, now_);
        }
    }

    instant now_{seconds(1000)};
    std::array<control_table, 2> tables_; ///< Of the instances 1 and 2.
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_table_test);

} // namespace

} // namespace mulberryrudder::control
