#include "roster_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::testing
{

namespace
{

/// Number of targets. Their notices together take longer on an entry's link than the longest
/// timeout for an answer.
constexpr int total_targets = 480;
/// Limit DRAIN: time after the acknowledgement of a leave for which requests may still reach
/// the target.
constexpr milliseconds drain_limit{2500};

/// Limit CONFIG: time after the acknowledgement of an order for which entries may still apply
/// an older state.
constexpr milliseconds config_limit{2500};

class roster_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(roster_fleet_test);
    CPPUNIT_TEST(all_entries_receive_a_leave_after_control_instances_become_unreachable);
    CPPUNIT_TEST(a_switch_of_control_instance_transfers_only_the_differences);
    CPPUNIT_TEST(an_order_is_acknowledged_quickly_without_faults);
    CPPUNIT_TEST(an_order_that_no_majority_holds_is_not_acknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        fleet_ = std::make_unique<roster_fleet>(roster_fleet::options{});
        fleet_->apply_first_plan();
        fleet_->run(seconds(1));
        for (int n = 0; n != total_targets; ++n)
            fleet_->start_target(n);
        fleet_->run(seconds(6));
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT_EQUAL(std::size_t{total_targets}, fleet_->serving_count(n));
    }

    // Guards against a violation of DRAIN: entries whose control instance became unreachable
    // requested all targets from one instance after the other. On their links, the answers
    // took longer than the timeout, were discarded as late, and the entries never received
    // that a target leaves.
    void all_entries_receive_a_leave_after_control_instances_become_unreachable()
    {
        fleet_->isolate({3, 4, 5});
        fleet_->run(milliseconds(500));
        auto const id = fleet_->leave(7, 11);
        auto deadline = fleet_->now() + seconds(1);
        while (!is_held(id) && fleet_->now() < deadline)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
        fleet_->run(drain_limit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0, entries_serving(11));
    }

    // Guards against a violation of DRAIN: each switch to another control instance transferred
    // all notices again.
    void a_switch_of_control_instance_transfers_only_the_differences()
    {
        auto const before = fleet_->sent_to_entries();
        fleet_->isolate({3, 4, 5});
        fleet_->run(seconds(4));
        auto const bytes = (fleet_->sent_to_entries() - before).count();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes) + " bytes",
                               bytes < std::int64_t{18} * total_targets * 170 / 3);
    }

    void an_order_is_acknowledged_quickly_without_faults()
    {
        auto const id = evacuate();
        fleet_->commit({0, 1, 2});
        fleet_->run(milliseconds(300));
        CPPUNIT_ASSERT(is_accepted(id));
    }

    // Guards against a violation of CONFIG: a leader that was partitioned together with a
    // majority of the voters acknowledged an order that the other control instances and their
    // entries did not receive.
    void an_order_that_no_majority_holds_is_not_acknowledged()
    {
        fleet_->partition({0, 1});
        fleet_->run(seconds(1));
        auto const id = evacuate();
        fleet_->commit({0, 1});
        fleet_->run(seconds(3));
        CPPUNIT_ASSERT_MESSAGE("the answer is not an acknowledgement",
                               fleet_->answer(id) != nullptr && !is_accepted(id));
        fleet_->partition({});
        auto const second_id = evacuate();
        auto const deadline = fleet_->now() + seconds(1);
        while (!is_accepted(second_id) && fleet_->now() < deadline)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("acknowledged once a majority holds it", is_accepted(second_id));
        fleet_->run(config_limit);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT(fleet_->generation(n) == generation_id(2));
    }

private:
    control::operator_request_id evacuate()
    {
        return fleet_->request(0,
                               any_message::of(control::evacuation_order{domain_id("d7"), true}));
    }

    bool is_accepted(control::operator_request_id id) const
    {
        auto const* const answer = fleet_->answer(id);
        auto const* const decision =
            answer == nullptr ? nullptr : answer->get<control::steering_answer>();
        return decision != nullptr && decision->result == control::order_result::accepted;
    }

    bool is_held(control::operator_request_id id) const
    {
        auto const* const answer = fleet_->answer(id);
        return answer != nullptr && answer->get<control::announcement_taken>()->held;
    }

    int entries_serving(int target)
    {
        int out = 0;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            out += fleet_->is_serving(n, target);
        return out;
    }

    std::unique_ptr<roster_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_fleet_test);

} // namespace

} // namespace mulberryrudder::testing
