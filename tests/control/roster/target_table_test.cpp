#include "plugins/control/roster/target_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

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
    CPPUNIT_TEST(an_unchanged_notice_is_no_change);
    CPPUNIT_TEST(an_older_notice_is_ignored);
    CPPUNIT_TEST(a_new_start_supersedes_higher_sequences_of_an_earlier_start);
    CPPUNIT_TEST(a_later_start_at_the_same_address_retires_the_earlier_target);
    CPPUNIT_TEST(a_delayed_notice_does_not_reclaim_an_address_from_a_later_start);
    CPPUNIT_TEST(a_deregistered_start_stays_gone);
    CPPUNIT_TEST(a_delayed_leave_of_an_earlier_start_does_not_end_the_new_one);
    CPPUNIT_TEST(the_leave_of_an_unknown_target_is_forwarded);
    CPPUNIT_TEST(leaves_of_several_unknown_targets_are_all_applied);
    CPPUNIT_TEST(a_leave_without_a_start_is_ignored_for_an_unknown_target);
    CPPUNIT_TEST(a_target_without_notices_is_gone_until_its_next_notice);
    CPPUNIT_TEST(a_leaving_target_is_forwarded_repeatedly);
    CPPUNIT_TEST(each_notice_of_a_leaving_target_is_acknowledged_anew);
    CPPUNIT_TEST(a_leave_that_its_target_repeats_late_is_forwarded_until_it_is_acknowledged);
    CPPUNIT_TEST(a_notice_names_the_instance_that_sent_it);
    CPPUNIT_TEST(a_target_that_moved_leaves_its_address_to_others);
    CPPUNIT_TEST(the_remaining_cold_time_decreases);
    CPPUNIT_TEST(an_unchanged_notice_is_forwarded_whole_only_now_and_then);
    CPPUNIT_TEST(a_target_that_was_silent_serves_again_with_an_unchanged_announcement);
    CPPUNIT_TEST(an_unchanged_announcement_does_not_bring_back_a_target_that_left);
    CPPUNIT_TEST(a_departure_that_an_entry_reports_is_forwarded_until_it_is_acknowledged);
    CPPUNIT_TEST(a_departure_of_an_earlier_start_is_ignored);
    CPPUNIT_TEST(a_target_that_contradicts_its_departure_serves_until_it_announces_that_it_leaves);
    CPPUNIT_TEST(leaves_are_those_that_targets_or_instances_told_of);
    CPPUNIT_TEST(each_new_leave_changes_the_version);
    CPPUNIT_TEST(a_restored_leave_is_as_good_as_a_new_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaves_are_those_that_targets_or_instances_told_of()
    {
        for (auto const* const id : {"left", "leaving", "silent", "serving"})
            update(notice(id, 1, 1));
        table_.deregister(target_id("left"), start_id(1), now_);
        auto leaving = notice("leaving", 1, 2);
        leaving.standing = target_standing::leaving;
        update(leaving);
        now_ += seconds(1);
        update(notice("serving", 1, 2));
        table_.expire(now_, now_);
        std::vector<std::string> found;
        for (auto const& it : table_.leaves(now_))
            found.push_back(it.id.value());
        CPPUNIT_ASSERT((found == std::vector<std::string>{"leaving", "left"}));
    }

    void each_new_leave_changes_the_version()
    {
        std::set<std::uint64_t> versions{table_.leaves_version()};
        auto const is_new = [&] { return versions.insert(table_.leaves_version()).second; };
        update(notice("a", 1, 1));
        CPPUNIT_ASSERT(!is_new());
        auto leaving = notice("a", 1, 2);
        leaving.standing = target_standing::leaving;
        update(leaving);
        CPPUNIT_ASSERT(is_new());
        leaving.sequence = sequence_id(3);
        update(leaving);
        CPPUNIT_ASSERT_MESSAGE("a target that repeats its leave", !is_new());
        table_.deregister(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT(is_new());
        update(notice("a", 2, 1));
        CPPUNIT_ASSERT_MESSAGE("a new start", is_new());
    }

    void a_restored_leave_is_as_good_as_a_new_one()
    {
        update(notice("a", 1, 1));
        table_.deregister(target_id("a"), start_id(1), now_);
        auto const kept = table_.leaves(now_);
        target_table next;
        for (auto const& it : kept)
            next.restore(it, now_);
        CPPUNIT_ASSERT(!next.update(notice("a", 1, 7), std::nullopt, now_));
        CPPUNIT_ASSERT(target_standing::gone == next.find(target_id("a"))->standing);
        CPPUNIT_ASSERT_EQUAL(kept.size(), next.leaves(now_).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.take_unforwarded(sequence_id(1), now_).size());
        CPPUNIT_ASSERT(next.update(notice("a", 2, 1), std::nullopt, now_));
        CPPUNIT_ASSERT(next.leaves(now_).empty());
    }

    // Guards against traffic between control instances that repeats what all of them know.
    void an_unchanged_notice_is_forwarded_whole_only_now_and_then()
    {
        std::vector<bool> unchanged;
        for (std::uint64_t n = 1; n != 9; ++n)
        {
            update(notice("a", 1, n));
            unchanged.push_back(table_.take_unforwarded(exchange_, now_).at(0).unchanged);
            now_ += milliseconds(1500);
        }
        CPPUNIT_ASSERT(
            (unchanged == std::vector{false, true, true, true, true, true, false, true}));
        auto moved = notice("a", 1, 10);
        moved.capacity = slots(3);
        update(moved);
        CPPUNIT_ASSERT_MESSAGE("a change is told at once",
                               !table_.take_unforwarded(exchange_, now_).at(0).unchanged);
    }

    // Guards against the loss of targets after a partition, in which they counted as gone.
    void a_target_that_was_silent_serves_again_with_an_unchanged_announcement()
    {
        update(notice("a", 1, 1));
        now_ += seconds(7);
        table_.expire(now_ - seconds(6), now_);
        CPPUNIT_ASSERT(table_.find(target_id("a"))->standing == target_standing::gone);
        CPPUNIT_ASSERT(
            table_.refresh({target_id("a"), start_id(1), sequence_id(5)}, instance_id(2), now_));
        CPPUNIT_ASSERT(table_.find(target_id("a"))->standing == target_standing::serving);
    }

    // Guards against GONE and DRAIN: an announcement from before a leave arrives after it.
    void an_unchanged_announcement_does_not_bring_back_a_target_that_left()
    {
        update(notice("a", 1, 1));
        table_.deregister(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT(
            !table_.refresh({target_id("a"), start_id(1), sequence_id(5)}, instance_id(2), now_));
        CPPUNIT_ASSERT(!table_.is_known(target_id("b"), start_id(1)));
        CPPUNIT_ASSERT(
            !table_.refresh({target_id("b"), start_id(1), sequence_id(5)}, instance_id(2), now_));
        CPPUNIT_ASSERT(table_.find(target_id("a"))->standing == target_standing::gone);
    }

    void a_departure_that_an_entry_reports_is_forwarded_until_it_is_acknowledged()
    {
        update(notice("a", 1, 1));
        table_.take_unforwarded(sequence_id(1), now_);
        auto const before = table_.newest_change();
        auto const* const departed = table_.depart(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT(departed != nullptr && departed->standing == target_standing::leaving);
        CPPUNIT_ASSERT(table_.newest_change() > before);
        auto const forwarded = table_.take_unforwarded(sequence_id(2), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.size());
        CPPUNIT_ASSERT(forwarded.front().first_exchange == sequence_id(2));
        CPPUNIT_ASSERT(forwarded.front().notice.standing == target_standing::leaving);
    }

    void a_departure_of_an_earlier_start_is_ignored()
    {
        update(notice("a", 2, 1));
        CPPUNIT_ASSERT(table_.depart(target_id("a"), start_id(1), now_) == nullptr);
        CPPUNIT_ASSERT(table_.depart(target_id("b"), start_id(1), now_) == nullptr);
    }

    // Guards against a target whose standing changes with each report of an entry, and with each of
    // its own announcements in between.
    void a_target_that_contradicts_its_departure_serves_until_it_announces_that_it_leaves()
    {
        update(notice("a", 1, 1));
        table_.depart(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT_MESSAGE("its own word is newer", update(notice("a", 1, 2)));
        CPPUNIT_ASSERT(table_.depart(target_id("a"), start_id(1), now_) == nullptr);
        auto leaving = notice("a", 1, 3);
        leaving.standing = target_standing::leaving;
        CPPUNIT_ASSERT(update(leaving));
    }

    void an_unchanged_notice_is_no_change()
    {
        CPPUNIT_ASSERT(update(notice("a", 1, 1)));
        CPPUNIT_ASSERT(!update(notice("a", 1, 2)));
    }

    void an_older_notice_is_ignored()
    {
        auto leaving = notice("a", 1, 5);
        leaving.standing = target_standing::leaving;
        update(leaving);
        CPPUNIT_ASSERT(!update(notice("a", 1, 4)));
        CPPUNIT_ASSERT(standing("a") == target_standing::leaving);
    }

    void a_new_start_supersedes_higher_sequences_of_an_earlier_start()
    {
        update(notice("a", 1, 99));
        CPPUNIT_ASSERT(update(notice("a", 2, 1)));
    }

    void a_later_start_at_the_same_address_retires_the_earlier_target()
    {
        update(notice("a", 1, 1));
        update(notice("b", 2, 1));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(standing("b") == target_standing::serving);
    }

    void a_delayed_notice_does_not_reclaim_an_address_from_a_later_start()
    {
        update(notice("a", 1, 1));
        update(notice("b", 2, 1));
        CPPUNIT_ASSERT(!update(notice("a", 1, 2)));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(standing("b") == target_standing::serving);
    }

    void a_deregistered_start_stays_gone()
    {
        update(notice("a", 1, 1));
        CPPUNIT_ASSERT(table_.deregister(target_id("a"), start_id(1), now_) != nullptr);
        CPPUNIT_ASSERT(!update(notice("a", 1, 2)));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(update(notice("a", 2, 1)));
    }

    void a_delayed_leave_of_an_earlier_start_does_not_end_the_new_one()
    {
        update(notice("a", 2, 1));
        table_.deregister(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT(standing("a") == target_standing::serving);
    }

    // The target leaves at a control instance that was unreachable while the target started.
    void the_leave_of_an_unknown_target_is_forwarded()
    {
        target_table unaware;
        CPPUNIT_ASSERT(unaware.deregister(target_id("a"), start_id(1), now_) != nullptr);
        auto const forwarded = unaware.take_unforwarded(exchange_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.size());
        update(notice("a", 1, 7));
        CPPUNIT_ASSERT(update(forwarded.front().notice));
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT_MESSAGE("the leave does not apply to a new start",
                               update(notice("a", 2, 1)));
    }

    void leaves_of_several_unknown_targets_are_all_applied()
    {
        update(notice("a", 1, 1, 80));
        update(notice("b", 2, 1, 81));
        target_table unaware;
        unaware.deregister(target_id("a"), start_id(1), now_);
        unaware.deregister(target_id("b"), start_id(2), now_);
        for (auto const& it : unaware.take_unforwarded(exchange_, now_))
            update(it.notice);
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(standing("b") == target_standing::gone);
    }

    void a_leave_without_a_start_is_ignored_for_an_unknown_target()
    {
        CPPUNIT_ASSERT(table_.deregister(target_id("a"), std::nullopt, now_) == nullptr);
        CPPUNIT_ASSERT(table_.take_unforwarded(exchange_, now_).empty());
    }

    void a_target_without_notices_is_gone_until_its_next_notice()
    {
        update(notice("a", 1, 1));
        now_ += seconds(7);
        table_.expire(now_ - seconds(6), now_);
        CPPUNIT_ASSERT(standing("a") == target_standing::gone);
        CPPUNIT_ASSERT(update(notice("a", 1, 2)));
        CPPUNIT_ASSERT(standing("a") == target_standing::serving);
    }

    void a_leaving_target_is_forwarded_repeatedly()
    {
        auto leaving = notice("a", 1, 1);
        leaving.standing = target_standing::leaving;
        update(leaving);
        for (int n = 0; n != 5; ++n, now_ += milliseconds(500))
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.take_unforwarded(exchange_, now_).size());
        now_ += seconds(5);
        CPPUNIT_ASSERT(table_.take_unforwarded(exchange_, now_).empty());
    }

    // Guards against the loss of a leave: an instance that acknowledged the first notice of a
    // leaving target was not sent the notice of its deregistration.
    void each_notice_of_a_leaving_target_is_acknowledged_anew()
    {
        auto leaving = notice("a", 1, 1);
        leaving.standing = target_standing::leaving;
        update(leaving);
        CPPUNIT_ASSERT(first_exchange(sequence_id(7)) == sequence_id(7));
        CPPUNIT_ASSERT(first_exchange(sequence_id(8)) == sequence_id(7));
        leaving.sequence = sequence_id(2);
        update(leaving);
        CPPUNIT_ASSERT(first_exchange(sequence_id(9)) == sequence_id(9));
        table_.deregister(target_id("a"), start_id(1), now_);
        CPPUNIT_ASSERT(first_exchange(sequence_id(10)) == sequence_id(10));
    }

    // Guards against a false acknowledgement of a leave: the target repeats it after the time for
    // which leaves are forwarded. No message contains it, and yet it counts as held by each
    // instance that acknowledges the next message.
    void a_leave_that_its_target_repeats_late_is_forwarded_until_it_is_acknowledged()
    {
        auto leaving = notice("a", 1, 1);
        leaving.standing = target_standing::leaving;
        update(leaving);
        first_exchange(sequence_id(7));
        now_ += seconds(6);
        update(leaving);
        auto const forwarded = table_.take_unforwarded(sequence_id(8), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.size());
        CPPUNIT_ASSERT(forwarded.front().first_exchange == sequence_id(8));
    }

    void a_notice_names_the_instance_that_sent_it()
    {
        table_.update(notice("a", 1, 1), instance_id(3), now_);
        update(notice("b", 1, 1, 81));
        auto const forwarded = table_.take_unforwarded(exchange_, now_);
        CPPUNIT_ASSERT(forwarded.at(0).source == instance_id(3));
        CPPUNIT_ASSERT(forwarded.at(1).source == std::nullopt);
    }

    // Guards against a target that is wrongly retired: its address was still counted as that of
    // another one, which had moved.
    void a_target_that_moved_leaves_its_address_to_others()
    {
        update(notice("a", 1, 1, 80));
        update(notice("a", 5, 1, 81));
        CPPUNIT_ASSERT(update(notice("b", 2, 1, 80)));
        CPPUNIT_ASSERT(standing("a") == target_standing::serving);
        CPPUNIT_ASSERT(standing("b") == target_standing::serving);
    }

    void the_remaining_cold_time_decreases()
    {
        auto cold = notice("a", 1, 1);
        cold.cold_for = milliseconds(3000);
        update(cold);
        now_ += milliseconds(1000);
        CPPUNIT_ASSERT(table_.changed_since(sequence_id(), std::nullopt, now_).front().cold_for ==
                       milliseconds(2000));
    }

private:
    /// Returns the first exchange that contains the end of the only target.
    std::optional<sequence_id> first_exchange(sequence_id exchange)
    {
        return table_.take_unforwarded(exchange, now_).at(0).first_exchange;
    }

    bool update(target_notice const& notice) { return table_.update(notice, {}, now_); }

    target_standing standing(std::string const& id)
    {
        for (auto const& it : table_.changed_since(sequence_id(), std::nullopt, now_))
            if (it.id == target_id(id))
                return it.standing;
        CPPUNIT_FAIL("unknown target");
        return target_standing::gone;
    }

    target_table table_;
    sequence_id exchange_{1};
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_table_test);

} // namespace

} // namespace mulberryrudder::control
