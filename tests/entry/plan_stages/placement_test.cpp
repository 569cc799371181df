#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(an_object_stays_on_its_home);
    CPPUNIT_TEST(a_full_home_hands_on_to_the_second);
    CPPUNIT_TEST(a_target_that_is_no_home_takes_an_object_only_while_idle);
    CPPUNIT_TEST(a_request_waits_at_its_home_before_it_goes_elsewhere);
    CPPUNIT_TEST(what_cannot_be_served_is_refused_at_once_as_not_run);
    CPPUNIT_TEST(a_refused_callers_return_is_spread);
    CPPUNIT_TEST(an_evacuated_domain_gets_nothing);
    CPPUNIT_TEST(a_leaving_target_gets_nothing);
    CPPUNIT_TEST(homes_of_a_route_bind);
    CPPUNIT_TEST(a_cold_target_gets_its_rate_at_most);
    CPPUNIT_TEST(a_cold_target_of_another_domain_gets_nothing);
    CPPUNIT_TEST(a_split_keeps_its_weights);
    CPPUNIT_TEST(a_new_version_gets_its_share_only_while_it_is_rolled_out);
    CPPUNIT_TEST(a_new_version_is_tried_under_the_load_of_the_old_one);
    CPPUNIT_TEST(a_new_version_without_room_leaves_requests_to_the_old_one);
    CPPUNIT_TEST(a_region_with_little_room_keeps_a_stable_part_of_its_objects);
    CPPUNIT_TEST(objects_that_leave_are_gathered_in_one_region);
    CPPUNIT_TEST(the_part_that_stays_is_that_of_all_targets_known_at_the_first_request);
    CPPUNIT_TEST(a_small_region_keeps_targets_that_all_look_bad);
    CPPUNIT_TEST(one_bad_target_of_many_is_left_alone);
    CPPUNIT_TEST(a_misdirected_target_is_left_until_it_speaks_again);
    CPPUNIT_TEST(an_unsafe_request_that_may_have_run_is_not_sent_again);
    CPPUNIT_TEST(an_unsafe_request_that_was_shed_is_sent_elsewhere);
    CPPUNIT_TEST(a_safe_request_is_sent_to_as_many_targets_as_its_route_allows);
    CPPUNIT_TEST(repeats_stay_within_their_budget);
    CPPUNIT_TEST(a_request_ends_at_its_routes_timeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_object_stays_on_its_home()
    {
        add_three();
        auto const first = it_.ask("/read/x", "17");
        it_.reply(first);
        for (int n = 0; n != 20; ++n)
        {
            auto const id = it_.ask("/read/x", "17");
            CPPUNIT_ASSERT_EQUAL(it_.target_of(first), it_.target_of(id));
            it_.reply(id);
        }
    }

    void a_full_home_hands_on_to_the_second()
    {
        it_.add("t1", "m-a", 2);
        it_.add("t2", "m-a", 2);
        std::multiset<std::string> used;
        for (int n = 0; n != 4; ++n)
            used.insert(it_.target_of(it_.ask("/read/x", "17")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.count("t1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.count("t2"));
    }

    /// Pattern: more work than the homes carry while other targets have room. Work on an
    /// object that they do not hold takes them several times as long, and they drop others
    /// for it, until nothing is fast anywhere (found on scale-1 of basamak-yaris).
    void a_target_that_is_no_home_takes_an_object_only_while_idle()
    {
        for (int n = 0; n != 3; ++n)
            it_.add("t" + std::to_string(n), "m-a", 4);
        // More objects than three targets keep twice, so that each has one home.
        for (int n = 0; n != 60; ++n)
            it_.reply(it_.ask("/read/x", "other" + std::to_string(n)));
        std::map<std::string, int> used;
        for (int n = 0; n != 12; ++n)
            ++used[it_.target_of(it_.ask("/read/x", "17"))];
        std::multiset<int> counts;
        for (auto const& [target, count] : used)
            if (!target.empty())
                counts.insert(count);
        // Four slots and a queue of two at the home, one request at each of the others.
        CPPUNIT_ASSERT(counts == (std::multiset<int>{1, 1, 6}));
    }

    /// Pattern: a short burst on one object. Waiting for a slot of its home takes less time
    /// than work where the object is not held.
    void a_request_waits_at_its_home_before_it_goes_elsewhere()
    {
        for (int n = 0; n != 3; ++n)
            it_.add("t" + std::to_string(n), "m-a", 4);
        for (int n = 0; n != 60; ++n)
            it_.reply(it_.ask("/read/x", "other" + std::to_string(n)));
        std::set<std::string> used;
        for (int n = 0; n != 6; ++n)
            used.insert(it_.target_of(it_.ask("/read/x", "17")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
    }

    /// Pattern: more work than all slots carry.
    void what_cannot_be_served_is_refused_at_once_as_not_run()
    {
        it_.add("t1", "m-a", 2);
        request_id last;
        for (int n = 0; n != 6; ++n)
            last = it_.ask("/read/x", "17");
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), it_.told(last));
        CPPUNIT_ASSERT(it_.refusal(last).run == verdict::not_run);
        CPPUNIT_ASSERT(it_.refusal(last).retry_after.has_value());
    }

    void a_refused_callers_return_is_spread()
    {
        std::set<milliseconds> returns;
        for (int n = 0; n != 50; ++n)
            returns.insert(*it_.refusal(it_.ask("/read/x", "17")).retry_after);
        CPPUNIT_ASSERT(returns.size() > 20);
    }

    void an_evacuated_domain_gets_nothing()
    {
        it_.add("t1", "m-a");
        it_.add("t2", "m-b");
        auto state = *it_.plan().held;
        state.evacuated.insert(domain_id("m-a"));
        it_.steer(state);
        for (int n = 0; n != 30; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), it_.target_of(id));
            it_.reply(id);
        }
    }

    void a_leaving_target_gets_nothing()
    {
        it_.add("t1", "m-a").what.standing = messages::target_standing::leaving;
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), it_.told(it_.ask("/read/x", "17")));
    }

    void homes_of_a_route_bind()
    {
        it_.add("t1", "e-a");
        auto plan = testing::sample_plan();
        plan.routes.at(0).homes = {region_id("m")};
        it_.put(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), it_.told(it_.ask("/read/x", "17")));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), it_.target_of(it_.ask("/write/x", "17")));
    }

    /// Pattern: targets that start empty under full traffic.
    void a_cold_target_gets_its_rate_at_most()
    {
        it_.plan().near = 2;
        it_.add("t1", "m-a", 100).cold_until = it_.now + seconds(10);
        int sent = 0;
        for (int n = 0; n != 200; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            if (!it_.target_of(id).empty())
            {
                ++sent;
                it_.reply(id);
            }
            it_.pass(milliseconds(10));
        }
        // 6 a second for both instances of the domain, over two seconds, and the first.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 4 && sent <= 7);
    }

    void a_cold_target_of_another_domain_gets_nothing()
    {
        it_.add("t1", "m-b").cold_until = it_.now + seconds(10);
        it_.pass(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), it_.told(it_.ask("/read/x", "17")));
    }

    void a_split_keeps_its_weights()
    {
        auto plan = testing::sample_plan();
        plan.services.push_back(plan.services.front());
        plan.services.back().id = service_id("other");
        plan.routes.at(0).services = {{service_id("desk"), weight(9)},
                                      {service_id("other"), weight(1)}};
        it_.put(plan);
        it_.add("t1", "m-a", 1000);
        it_.add("t2", "m-a", 1000).what.service = service_id("other");
        int other = 0;
        for (int n = 0; n != 1000; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            other += it_.target_of(id) == "t2";
            it_.reply(id);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(other), other > 70 && other < 130);
    }

    void a_new_version_gets_its_share_only_while_it_is_rolled_out()
    {
        it_.add("t1", "m-a", 1000);
        it_.add("t2", "m-a", 1000).what.version = version_id("v2");
        auto state = *it_.plan().held;
        auto& versions = state.versions[service_id("desk")];
        versions.base = version_id("v1");
        it_.steer(state);
        CPPUNIT_ASSERT_EQUAL(0, sent_to_t2());
        versions.next = version_id("v2");
        versions.phase = rollout_phase::running;
        versions.share = per_mille(100);
        it_.steer(state);
        auto const part = sent_to_t2();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(part), part > 60 && part < 140);
        versions.phase = rollout_phase::rolled_back;
        it_.steer(state);
        CPPUNIT_ASSERT_EQUAL(0, sent_to_t2());
    }

    /// Pattern: a version that fails under load only (found by a hunt on basamak-yaris,
    /// mix with seed 18258443660).
    void a_new_version_is_tried_under_the_load_of_the_old_one()
    {
        roll_out_to(20, 100);
        std::set<std::string> tried;
        for (int n = 0; n != 500; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            if (it_.target_of(id).starts_with("new"))
                tried.insert(it_.target_of(id));
            it_.reply(id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tried.size());
    }

    void a_new_version_without_room_leaves_requests_to_the_old_one()
    {
        roll_out_to(1, 100);
        for (int n = 0; n != 200; ++n)
            CPPUNIT_ASSERT(it_.told(it_.ask("/read/x", std::to_string(n))).empty());
    }

    /// Pattern: one region has far fewer slots than its callers need.
    void a_region_with_little_room_keeps_a_stable_part_of_its_objects()
    {
        it_.add("near", "m-a", 10);
        for (auto const* const id : {"far1", "far2", "far3"})
            it_.add(id, "e-a", 20);
        it_.pass(milliseconds(1));
        std::map<std::string, std::string> first;
        int here = 0;
        for (int n = 0; n != 200; ++n)
        {
            auto const object = std::to_string(n);
            auto const id = it_.ask("/read/x", object);
            first[object] = it_.target_of(id);
            here += first[object] == "near";
            it_.reply(id);
        }
        // 10 of 70 slots for one of two regions.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(here), here > 30 && here < 90);
        int moved = 0;
        for (auto const& [object, target] : first)
        {
            auto const id = it_.ask("/read/x", object);
            moved += it_.target_of(id) != target;
            it_.reply(id);
        }
        CPPUNIT_ASSERT_EQUAL(0, moved);
    }

    /// Pattern: targets that keep fewer objects than all regions ask about.
    void objects_that_leave_are_gathered_in_one_region()
    {
        for (int n = 0; n != 3; ++n)
        {
            it_.add("here" + std::to_string(n), "m-a", 10);
            it_.add("there" + std::to_string(n), "e-a", 10);
        }
        // 3 targets keep 42 of 400 objects of each region.
        for (int round = 0; round != 80; ++round)
        {
            for (int n = 0; n != 400; ++n)
                it_.reply(it_.ask("/read/x", std::to_string(n)));
            it_.pass(milliseconds(600));
        }
        int stayed = 0;
        for (int n = 0; n != 400; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            stayed += it_.target_of(id).starts_with("here");
            it_.reply(id);
        }
        // A tenth of the objects is served in each region, of the others half is gathered here.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(stayed), stayed > 190 && stayed < 270);
    }

    /// Pattern: a small region's entry hears of its own targets first, before any caller
    /// comes (found on quiet-1 of basamak-yaris: a region with 18 of 261 slots kept all
    /// its objects for half of the day).
    void the_part_that_stays_is_that_of_all_targets_known_at_the_first_request()
    {
        it_.add("here", "m-a", 10);
        it_.pass(seconds(1));
        for (int n = 0; n != 9; ++n)
            it_.add("there" + std::to_string(n), "e-a", 10);
        it_.pass(seconds(1));
        int stayed = 0;
        for (int n = 0; n != 200; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            stayed += it_.target_of(id) == "here";
            it_.reply(id);
        }
        // Two regions, a tenth of the slots: a fifth of the objects.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(stayed), stayed >= 20 && stayed <= 60);
    }

    /// Pattern: the few targets of a region fail for a while; its traffic must not move
    /// to other regions from one moment to the next.
    void a_small_region_keeps_targets_that_all_look_bad()
    {
        it_.add("near", "m-a", 50);
        it_.add("far", "e-a", 50);
        it_.pass(milliseconds(1));
        std::string here;
        for (int n = 0; here.empty(); ++n)
            if (it_.target_of(ask_and_reply(std::to_string(n))) == "near")
                here = std::to_string(n);
        for (int n = 0; n != 30; ++n)
        {
            auto const id = it_.ask("/write/x", here);
            CPPUNIT_ASSERT_EQUAL(std::string("near"), it_.target_of(id));
            it_.reply(id, 500);
        }
    }

    void one_bad_target_of_many_is_left_alone()
    {
        for (auto const* const id : {"t1", "t2", "t3", "t4"})
            it_.add(id, "m-a", 50);
        auto const bad = it_.target_of(ask_and_reply("17"));
        for (int n = 0; n != 30; ++n)
        {
            auto const id = it_.ask("/write/x", "17");
            it_.reply(id, it_.target_of(id) == bad ? 500 : 200);
        }
        CPPUNIT_ASSERT(bad != it_.target_of(it_.ask("/write/x", "17")));
    }

    void a_misdirected_target_is_left_until_it_speaks_again()
    {
        auto& target = it_.add("t1", "m-a");
        auto const id = it_.ask("/read/x", "17");
        it_.fail(id, attempt_failure::misdirected, verdict::not_run);
        it_.pass(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), it_.told(it_.ask("/read/x", "17")));
        target.learned = it_.now;
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), it_.target_of(it_.ask("/read/x", "17")));
    }

    void an_unsafe_request_that_may_have_run_is_not_sent_again()
    {
        add_three();
        earn_budget();
        auto const id = it_.ask("/write/x", "17");
        it_.fail(id, attempt_failure::closed, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.attempts_of(id));
        CPPUNIT_ASSERT(it_.refusal(id).run == verdict::may_have_run);
    }

    void an_unsafe_request_that_was_shed_is_sent_elsewhere()
    {
        add_three();
        earn_budget();
        auto const id = it_.ask("/write/x", "17");
        auto const first = it_.target_of(id);
        it_.fail(id, attempt_failure::shed, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it_.attempts_of(id));
        CPPUNIT_ASSERT(first != it_.target_of(id));
    }

    void a_safe_request_is_sent_to_as_many_targets_as_its_route_allows()
    {
        add_three();
        earn_budget();
        auto const id = it_.ask("/read/x", "17");
        it_.fail(id, attempt_failure::closed, verdict::may_have_run);
        it_.fail(id, attempt_failure::closed, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it_.attempts_of(id));
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_open"), it_.told(id));
    }

    /// Pattern: a service that fails everything must not be asked twice as often.
    void repeats_stay_within_their_budget()
    {
        add_three();
        std::size_t attempts = 0;
        for (int n = 0; n != 500; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            while (it_.told(id).empty())
                it_.fail(id, attempt_failure::malformed, verdict::may_have_run);
            attempts += it_.attempts_of(id);
            it_.pass(milliseconds(5));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(attempts), attempts <= 500 + 50 + 4);
    }

    void a_request_ends_at_its_routes_timeout()
    {
        add_three();
        auto const id = it_.ask("/read/x", "17");
        it_.pass(milliseconds(1199));
        CPPUNIT_ASSERT(it_.told(id).empty());
        it_.pass(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"), it_.told(id));
    }

private:
    void add_three()
    {
        for (auto const* const id : {"t1", "t2", "t3"})
            it_.add(id, "m-a");
    }

    request_id ask_and_reply(std::string const& object)
    {
        auto const id = it_.ask("/read/x", object);
        it_.reply(id);
        return id;
    }

    /// Starts a rollout with so many new targets and one old one with much room.
    void roll_out_to(int targets, std::int64_t share)
    {
        it_.add("old", "m-a", 1000);
        for (int n = 0; n != targets; ++n)
            it_.add("new" + std::to_string(n), "m-a", 10).what.version = version_id("v2");
        auto state = *it_.plan().held;
        state.versions[service_id("desk")] = {.base = version_id("v1"),
                                              .next = version_id("v2"),
                                              .share = per_mille(share),
                                              .phase = rollout_phase::running};
        it_.steer(state);
    }

    void earn_budget()
    {
        for (int n = 0; n != 40; ++n)
            it_.reply(it_.ask("/read/x", "17"));
    }

    int sent_to_t2()
    {
        int out = 0;
        for (int n = 0; n != 1000; ++n)
        {
            auto const id = it_.ask("/read/x", std::to_string(n));
            out += it_.target_of(id) == "t2";
            it_.reply(id);
        }
        return out;
    }

    plan_bench it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace

} // namespace mulberryrudder::entry
