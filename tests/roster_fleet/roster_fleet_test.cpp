#include "roster_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::testing
{

namespace
{

/// Targets of the fleet. An entry's link takes longer for all of their notices than the
/// longest limit for an answer.
constexpr int targets = 480;
/// From the acknowledgement of a target's leave on, requests may reach it for so long.
constexpr milliseconds drain{2500};

/// From the acknowledgement of an order on, entries may act by an older one for so long.
constexpr milliseconds config_apply{2500};

class roster_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(roster_fleet_test);
    CPPUNIT_TEST(all_entries_learn_of_a_leave_after_control_instances_fall_silent);
    CPPUNIT_TEST(a_change_of_control_instance_costs_only_what_differs);
    CPPUNIT_TEST(an_order_is_acknowledged_soon_when_all_is_well);
    CPPUNIT_TEST(an_order_that_most_control_instances_miss_is_not_acknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        fleet_ = std::make_unique<roster_fleet>(roster_fleet::options{});
        fleet_->put_first_plan();
        fleet_->run(seconds(1));
        for (int n = 0; n != targets; ++n)
            fleet_->start_target(n);
        fleet_->run(seconds(6));
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT_EQUAL(std::size_t{targets}, fleet_->serving(n));
    }

    // Guards against DRAIN: entries whose control instance fell silent asked one after the
    // other for all targets, over links that take longer for these than the limit for an
    // answer, threw the late answers away, and did not learn that a target leaves.
    void all_entries_learn_of_a_leave_after_control_instances_fall_silent()
    {
        fleet_->silence({3, 4, 5});
        fleet_->run(milliseconds(500));
        auto const id = fleet_->leave(7, 11);
        auto until = fleet_->now() + seconds(1);
        while (!is_held(id) && fleet_->now() < until)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("the leave is acknowledged", is_held(id));
        fleet_->run(drain);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("entries that still send requests", 0, entries_serving(11));
    }

    // Guards against DRAIN: each change of the control instance brought all notices again.
    void a_change_of_control_instance_costs_only_what_differs()
    {
        auto const before = fleet_->sent_to_entries();
        fleet_->silence({3, 4, 5});
        fleet_->run(seconds(4));
        auto const bytes = (fleet_->sent_to_entries() - before).count();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes) + " bytes",
                               bytes < std::int64_t{18} * targets * 170 / 3);
    }

    void an_order_is_acknowledged_soon_when_all_is_well()
    {
        auto const id = evacuate();
        fleet_->commit({0, 1, 2});
        fleet_->run(milliseconds(300));
        CPPUNIT_ASSERT(is_accepted(id));
    }

    // Guards against CONFIG: a leader that was cut off together with a majority of the voters
    // acknowledged what the other control instances, and the entries there, did not learn.
    void an_order_that_most_control_instances_miss_is_not_acknowledged()
    {
        fleet_->part({0, 1});
        fleet_->run(seconds(1));
        auto const id = evacuate();
        fleet_->commit({0, 1});
        fleet_->run(seconds(3));
        CPPUNIT_ASSERT_MESSAGE("told to ask again",
                               fleet_->answer(id) != nullptr && !is_accepted(id));
        fleet_->part({});
        auto const again = evacuate();
        auto const until = fleet_->now() + seconds(1);
        while (!is_accepted(again) && fleet_->now() < until)
            fleet_->run(milliseconds(10));
        CPPUNIT_ASSERT_MESSAGE("acknowledged once they hold it", is_accepted(again));
        fleet_->run(config_apply);
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            CPPUNIT_ASSERT(fleet_->generation(n) == generation_id(2));
    }

private:
    control::operator_request_id evacuate()
    {
        return fleet_->order(0, any_message::of(control::evacuation_order{domain_id("d7"), true}));
    }

    bool is_accepted(control::operator_request_id id) const
    {
        auto const* const it = fleet_->answer(id);
        auto const* const told = it == nullptr ? nullptr : it->get<control::steering_answer>();
        return told != nullptr && told->result == control::order_result::accepted;
    }

    bool is_held(control::operator_request_id id) const
    {
        auto const* const it = fleet_->answer(id);
        return it != nullptr && it->get<control::announcement_taken>()->held;
    }

    int entries_serving(int target)
    {
        int out = 0;
        for (std::size_t n = 0; n != fleet_->entries(); ++n)
            out += fleet_->serves(n, target);
        return out;
    }

    std::unique_ptr<roster_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_fleet_test);

} // namespace

} // namespace mulberryrudder::testing
