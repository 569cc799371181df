#include "plugins/control/roster/target_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

using messages::target_notice;
using messages::target_standing;

target_notice notice(std::string const& id, std::uint64_t start, std::uint64_t sequence,
                     std::uint16_t port = 80)
{
    return {.id = target_id(id),
            .start = start_id(start),
            .sequence = sequence_id(sequence),
            .service = service_id("desk"),
            .where = {"10.0.0.1", port},
            .domain = domain_id("m-a"),
            .version = version_id("v1"),
            .capacity = slots(9)};
}

class target_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_table_test);
    CPPUNIT_TEST(an_unchanged_beat_is_no_news);
    CPPUNIT_TEST(a_late_beat_changes_nothing);
    CPPUNIT_TEST(a_new_start_with_fresh_counts_holds);
    CPPUNIT_TEST(a_later_start_at_an_address_retires_the_other);
    CPPUNIT_TEST(a_beat_of_a_crashed_start_does_not_take_its_address_back);
    CPPUNIT_TEST(who_left_stays_gone_for_that_start);
    CPPUNIT_TEST(a_late_leave_of_an_earlier_start_does_not_end_the_new_one);
    CPPUNIT_TEST(the_end_of_a_target_that_was_not_heard_of_is_told_on);
    CPPUNIT_TEST(ends_of_targets_that_were_not_heard_of_do_not_hide_each_other);
    CPPUNIT_TEST(an_end_without_a_start_says_nothing_of_an_unknown_target);
    CPPUNIT_TEST(silence_ends_a_target_until_it_speaks);
    CPPUNIT_TEST(a_leaving_target_is_told_more_than_once);
    CPPUNIT_TEST(the_time_until_warm_goes_on);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_unchanged_beat_is_no_news()
    {
        CPPUNIT_ASSERT(take(notice("a", 1, 1)));
        CPPUNIT_ASSERT(!take(notice("a", 1, 2)));
    }

    void a_late_beat_changes_nothing()
    {
        auto leaving = notice("a", 1, 5);
        leaving.standing = target_standing::leaving;
        take(leaving);
        CPPUNIT_ASSERT(!take(notice("a", 1, 4)));
        CPPUNIT_ASSERT(standing("a") == target_standing::leaving);
    }

    void a_new_start_with_fresh_counts_holds()
    {
        take(notice("a", 1, 99));
        CPPUNIT_ASSERT(take(notice("a", 2, 1)));
    }

    void a_later_start_at_an_address_retires_the_other()
    {
        take(notice("a", 1, 1));
        take(notice("b", 2, 1));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(standing("b") == target_standing::serving);
    }

    void a_beat_of_a_crashed_start_does_not_take_its_address_back()
    {
        take(notice("a", 1, 1));
        take(notice("b", 2, 1));
        CPPUNIT_ASSERT(!take(notice("a", 1, 2)));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(standing("b") == target_standing::serving);
    }

    void who_left_stays_gone_for_that_start()
    {
        take(notice("a", 1, 1));
        CPPUNIT_ASSERT(it_.take_leave(target_id("a"), start_id(1), now_) != nullptr);
        CPPUNIT_ASSERT(!take(notice("a", 1, 2)));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(take(notice("a", 2, 1)));
    }

    void a_late_leave_of_an_earlier_start_does_not_end_the_new_one()
    {
        take(notice("a", 2, 1));
        it_.take_leave(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT(standing("a") == target_standing::serving);
    }

    /// Pattern: a target leaves at a control instance that was cut off while it began.
    void the_end_of_a_target_that_was_not_heard_of_is_told_on()
    {
        target_table unaware;
        CPPUNIT_ASSERT(unaware.take_leave(target_id("a"), start_id(1), now_) != nullptr);
        auto const told = unaware.take_fresh(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
        take(notice("a", 1, 7));
        CPPUNIT_ASSERT(take(told.front()));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT_MESSAGE("a new start is another one", take(notice("a", 2, 1)));
    }

    void ends_of_targets_that_were_not_heard_of_do_not_hide_each_other()
    {
        take(notice("a", 1, 1, 80));
        take(notice("b", 2, 1, 81));
        target_table unaware;
        unaware.take_leave(target_id("a"), start_id(1), now_);
        unaware.take_leave(target_id("b"), start_id(2), now_);
        for (auto const& it : unaware.take_fresh(now_))
            take(it);
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(standing("b") == target_standing::gone);
    }

    void an_end_without_a_start_says_nothing_of_an_unknown_target()
    {
        CPPUNIT_ASSERT(it_.take_leave(target_id("a"), std::nullopt, now_) == nullptr);
        CPPUNIT_ASSERT(it_.take_fresh(now_).empty());
    }

    void silence_ends_a_target_until_it_speaks()
    {
        take(notice("a", 1, 1));
        now_ += seconds(7);
        it_.expire(now_ - seconds(6), now_);
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(take(notice("a", 1, 2)));
        CPPUNIT_ASSERT(standing("a") == target_standing::serving);
    }

    void a_leaving_target_is_told_more_than_once()
    {
        auto leaving = notice("a", 1, 1);
        leaving.standing = target_standing::leaving;
        take(leaving);
        for (int n = 0; n != 5; ++n, now_ += milliseconds(500))
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take_fresh(now_).size());
        now_ += seconds(5);
        CPPUNIT_ASSERT(it_.take_fresh(now_).empty());
    }

    void the_time_until_warm_goes_on()
    {
        auto cold = notice("a", 1, 1);
        cold.cold_for = milliseconds(3000);
        take(cold);
        now_ += milliseconds(1000);
        CPPUNIT_ASSERT(it_.changed_since(sequence_id(), std::nullopt, now_).front().cold_for ==
                       milliseconds(2000));
    }

private:
    bool take(target_notice const& what) { return it_.take(what, now_); }

    target_standing standing(std::string const& id)
    {
        for (auto const& it : it_.changed_since(sequence_id(), std::nullopt, now_))
            if (it.id == target_id(id))
                return it.standing;
        CPPUNIT_FAIL("the target is not known");
        return target_standing::gone;
    }

    target_table it_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_table_test);

} // namespace

} // namespace mulberryrudder::control
