#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <vector>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(an_object_stays_on_its_home);
    CPPUNIT_TEST(requests_beyond_a_full_home_go_to_the_second_home);
    CPPUNIT_TEST(a_target_that_is_not_a_home_gets_requests_only_while_idle);
    CPPUNIT_TEST(requests_queue_at_the_home_before_they_go_to_other_targets);
    CPPUNIT_TEST(requests_beyond_all_capacity_are_refused_at_once_as_not_run);
    CPPUNIT_TEST(retry_delays_of_refused_callers_are_randomized);
    CPPUNIT_TEST(an_evacuated_domain_gets_no_requests);
    CPPUNIT_TEST(a_leaving_target_gets_no_requests);
    CPPUNIT_TEST(a_route_is_served_only_in_its_home_regions);
    CPPUNIT_TEST(requests_to_a_cold_target_are_limited_to_its_warm_up_rate);
    CPPUNIT_TEST(a_cold_target_of_another_domain_gets_no_requests);
    CPPUNIT_TEST(requests_are_split_between_services_by_weight);
    CPPUNIT_TEST(a_new_version_gets_its_share_only_during_its_rollout);
    CPPUNIT_TEST(a_new_version_is_tried_on_its_share_of_its_targets);
    CPPUNIT_TEST(requests_go_to_the_old_version_if_the_new_one_has_no_free_slot);
    CPPUNIT_TEST(a_region_with_few_slots_serves_a_stable_fraction_of_its_objects);
    CPPUNIT_TEST(objects_not_served_locally_are_served_by_one_region);
    CPPUNIT_TEST(the_initial_region_split_uses_the_targets_known_at_the_first_request);
    CPPUNIT_TEST(a_region_whose_targets_are_all_ejected_keeps_using_them);
    CPPUNIT_TEST(one_failing_target_of_many_is_ejected);
    CPPUNIT_TEST(a_misdirected_target_gets_no_requests_until_a_newer_notice);
    CPPUNIT_TEST(a_target_that_asks_for_a_pause_gets_no_requests_until_it_ends);
    CPPUNIT_TEST(answers_to_requests_in_flight_do_not_shorten_a_pause);
    CPPUNIT_TEST(requests_are_refused_at_once_while_all_targets_are_paused);
    CPPUNIT_TEST(callers_return_spread_after_the_first_pause);
    CPPUNIT_TEST(requests_do_not_all_move_to_another_region_while_targets_are_paused);
    CPPUNIT_TEST(a_long_pause_is_kept_as_it_was_asked_for);
    CPPUNIT_TEST(a_new_start_of_a_target_is_not_paused);
    CPPUNIT_TEST(an_unsafe_request_that_may_have_run_is_not_retried);
    CPPUNIT_TEST(an_unsafe_request_that_was_shed_is_retried_on_another_target);
    CPPUNIT_TEST(a_safe_request_is_retried_up_to_the_target_limit_of_its_route);
    CPPUNIT_TEST(retries_stay_within_their_budget);
    CPPUNIT_TEST(a_request_ends_at_its_routes_timeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_object_stays_on_its_home()
    {
        add_three_targets();
        auto const first = bench_.send_request("/read/x", "17");
        bench_.reply(first);
        for (int n = 0; n != 20; ++n)
        {
            auto const id = bench_.send_request("/read/x", "17");
            CPPUNIT_ASSERT_EQUAL(bench_.target_of(first), bench_.target_of(id));
            bench_.reply(id);
        }
    }

    void requests_beyond_a_full_home_go_to_the_second_home()
    {
        bench_.add_target("t1", "m-a", 2);
        bench_.add_target("t2", "m-a", 2);
        std::multiset<std::string> used;
        for (int n = 0; n != 4; ++n)
            used.insert(bench_.target_of(bench_.send_request("/read/x", "17")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.count("t1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.count("t2"));
    }

    /// The load exceeds the capacity of the homes while other targets have free slots. Those
    /// take several times as long for an object that they do not hold and evict others for
    /// it, until all targets are slow (found in scenario scale-1 of basamak-yaris).
    void a_target_that_is_not_a_home_gets_requests_only_while_idle()
    {
        for (int n = 0; n != 3; ++n)
            bench_.add_target("t" + std::to_string(n), "m-a", 4);
        // More objects than three targets keep twice, so each object has one home.
        for (int n = 0; n != 60; ++n)
            bench_.reply(bench_.send_request("/read/x", "other" + std::to_string(n)));
        std::map<std::string, int> used;
        for (int n = 0; n != 12; ++n)
            ++used[bench_.target_of(bench_.send_request("/read/x", "17"))];
        std::multiset<int> counts;
        for (auto const& [target, count] : used)
            if (!target.empty())
                counts.insert(count);
        // Four slots and a queue of two at the home, one request at each of the others.
        CPPUNIT_ASSERT(counts == (std::multiset<int>{1, 1, 6}));
    }

    /// A short burst of requests for one object: waiting for a slot of its home takes less
    /// time than the work on a target that does not hold the object.
    void requests_queue_at_the_home_before_they_go_to_other_targets()
    {
        for (int n = 0; n != 3; ++n)
            bench_.add_target("t" + std::to_string(n), "m-a", 4);
        for (int n = 0; n != 60; ++n)
            bench_.reply(bench_.send_request("/read/x", "other" + std::to_string(n)));
        std::set<std::string> used;
        for (int n = 0; n != 6; ++n)
            used.insert(bench_.target_of(bench_.send_request("/read/x", "17")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
    }

    /// The load exceeds the slots of all targets.
    void requests_beyond_all_capacity_are_refused_at_once_as_not_run()
    {
        bench_.add_target("t1", "m-a", 2);
        request_id last;
        for (int n = 0; n != 6; ++n)
            last = bench_.send_request("/read/x", "17");
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), bench_.outcome_of(last));
        CPPUNIT_ASSERT(bench_.refusal(last).run == verdict::not_run);
        CPPUNIT_ASSERT(bench_.refusal(last).retry_after.has_value());
    }

    void retry_delays_of_refused_callers_are_randomized()
    {
        std::set<milliseconds> returns;
        for (int n = 0; n != 50; ++n)
            returns.insert(*bench_.refusal(bench_.send_request("/read/x", "17")).retry_after);
        CPPUNIT_ASSERT(returns.size() > 20);
    }

    void an_evacuated_domain_gets_no_requests()
    {
        bench_.add_target("t1", "m-a");
        bench_.add_target("t2", "m-b");
        auto state = *bench_.plan().current;
        state.evacuated.insert(domain_id("m-a"));
        bench_.set_steering(state);
        for (int n = 0; n != 30; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), bench_.target_of(id));
            bench_.reply(id);
        }
    }

    void a_leaving_target_gets_no_requests()
    {
        bench_.add_target("t1", "m-a").what.standing = messages::target_standing::leaving;
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"),
                             bench_.outcome_of(bench_.send_request("/read/x", "17")));
    }

    void a_route_is_served_only_in_its_home_regions()
    {
        bench_.add_target("t1", "e-a");
        auto plan = testing::sample_plan();
        plan.routes.at(0).homes = {region_id("m")};
        bench_.set_plan(plan);
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"),
                             bench_.outcome_of(bench_.send_request("/read/x", "17")));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             bench_.target_of(bench_.send_request("/write/x", "17")));
    }

    /// Targets start with an empty cache under full traffic.
    void requests_to_a_cold_target_are_limited_to_its_warm_up_rate()
    {
        bench_.plan().domain_entry_count = 2;
        bench_.add_target("t1", "m-a", 100).cold_until = bench_.now + seconds(10);
        int sent = 0;
        for (int n = 0; n != 200; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            if (!bench_.target_of(id).empty())
            {
                ++sent;
                bench_.reply(id);
            }
            bench_.advance(milliseconds(10));
        }
        // 6 a second, shared by the two instances of the domain, for two seconds, plus the first.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 4 && sent <= 7);
    }

    void a_cold_target_of_another_domain_gets_no_requests()
    {
        bench_.add_target("t1", "m-b").cold_until = bench_.now + seconds(10);
        bench_.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"),
                             bench_.outcome_of(bench_.send_request("/read/x", "17")));
    }

    void requests_are_split_between_services_by_weight()
    {
        auto plan = testing::sample_plan();
        plan.services.push_back(plan.services.front());
        plan.services.back().id = service_id("other");
        plan.routes.at(0).services = {{service_id("desk"), weight(9)},
                                      {service_id("other"), weight(1)}};
        bench_.set_plan(plan);
        bench_.add_target("t1", "m-a", 1000);
        bench_.add_target("t2", "m-a", 1000).what.service = service_id("other");
        int other = 0;
        for (int n = 0; n != 1000; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            other += bench_.target_of(id) == "t2";
            bench_.reply(id);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(other), other > 70 && other < 130);
    }

    void a_new_version_gets_its_share_only_during_its_rollout()
    {
        bench_.add_target("t1", "m-a", 1000);
        bench_.add_target("t2", "m-a", 1000).what.version = version_id("v2");
        auto state = *bench_.plan().current;
        auto& versions = state.versions[service_id("desk")];
        versions.base = version_id("v1");
        bench_.set_steering(state);
        CPPUNIT_ASSERT_EQUAL(0, count_requests_to_t2());
        versions.next = version_id("v2");
        versions.phase = rollout_phase::running;
        versions.share = per_mille(100);
        bench_.set_steering(state);
        auto const sent = count_requests_to_t2();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent > 60 && sent < 140);
        versions.phase = rollout_phase::rolled_back;
        bench_.set_steering(state);
        CPPUNIT_ASSERT_EQUAL(0, count_requests_to_t2());
    }

    /// A version fails only under load, so the few requests of its share must go to few
    /// targets (found in scenario mix of basamak-yaris, seed 18258443660).
    void a_new_version_is_tried_on_its_share_of_its_targets()
    {
        start_rollout(20, 100);
        std::set<std::string> tried;
        for (int n = 0; n != 500; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            if (bench_.target_of(id).starts_with("new"))
                tried.insert(bench_.target_of(id));
            bench_.reply(id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tried.size());
    }

    void requests_go_to_the_old_version_if_the_new_one_has_no_free_slot()
    {
        start_rollout(1, 100);
        for (int n = 0; n != 200; ++n)
            CPPUNIT_ASSERT(
                bench_.outcome_of(bench_.send_request("/read/x", std::to_string(n))).empty());
    }

    /// One region has far fewer slots than its callers need.
    void a_region_with_few_slots_serves_a_stable_fraction_of_its_objects()
    {
        bench_.add_target("near", "m-a", 10);
        for (auto const* const id : {"far1", "far2", "far3"})
            bench_.add_target(id, "e-a", 20);
        bench_.advance(milliseconds(1));
        std::map<std::string, std::string> first;
        int near_count = 0;
        for (int n = 0; n != 200; ++n)
        {
            auto const object = std::to_string(n);
            auto const id = bench_.send_request("/read/x", object);
            first[object] = bench_.target_of(id);
            near_count += first[object] == "near";
            bench_.reply(id);
        }
        // The region has 10 of the 70 slots of two regions.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(near_count), near_count > 30 && near_count < 90);
        int moved = 0;
        for (auto const& [object, target] : first)
        {
            auto const id = bench_.send_request("/read/x", object);
            moved += bench_.target_of(id) != target;
            bench_.reply(id);
        }
        CPPUNIT_ASSERT_EQUAL(0, moved);
    }

    /// The targets keep fewer objects than the regions request.
    void objects_not_served_locally_are_served_by_one_region()
    {
        for (int n = 0; n != 3; ++n)
        {
            bench_.add_target("here" + std::to_string(n), "m-a", 10);
            bench_.add_target("there" + std::to_string(n), "e-a", 10);
        }
        // The 3 targets of each region keep 42 of 400 objects.
        for (int round = 0; round != 80; ++round)
        {
            for (int n = 0; n != 400; ++n)
                bench_.reply(bench_.send_request("/read/x", std::to_string(n)));
            bench_.advance(milliseconds(600));
        }
        int served_here = 0;
        for (int n = 0; n != 400; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            served_here += bench_.target_of(id).starts_with("here");
            bench_.reply(id);
        }
        // Each region serves a tenth of the objects; of the rest, this region serves half.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served_here), served_here > 190 && served_here < 270);
    }

    /// The entry of a small region receives its own targets first, before any request
    /// arrives. The split must not start from these alone (found in scenario quiet-1 of
    /// basamak-yaris: a region with 18 of 261 slots kept all its objects for half of the day).
    void the_initial_region_split_uses_the_targets_known_at_the_first_request()
    {
        bench_.add_target("here", "m-a", 10);
        bench_.advance(seconds(1));
        for (int n = 0; n != 9; ++n)
            bench_.add_target("there" + std::to_string(n), "e-a", 10);
        bench_.advance(seconds(1));
        int served_here = 0;
        for (int n = 0; n != 200; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            served_here += bench_.target_of(id) == "here";
            bench_.reply(id);
        }
        // One of two regions with a tenth of the slots serves a fifth of the objects.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served_here), served_here >= 20 && served_here <= 60);
    }

    /// All targets of a region fail for a while; the region's traffic must not move to other
    /// regions at once.
    void a_region_whose_targets_are_all_ejected_keeps_using_them()
    {
        bench_.add_target("near", "m-a", 50);
        bench_.add_target("far", "e-a", 50);
        bench_.advance(milliseconds(1));
        std::string near_object;
        for (int n = 0; near_object.empty(); ++n)
            if (bench_.target_of(send_and_reply(std::to_string(n))) == "near")
                near_object = std::to_string(n);
        for (int n = 0; n != 30; ++n)
        {
            auto const id = bench_.send_request("/write/x", near_object);
            CPPUNIT_ASSERT_EQUAL(std::string("near"), bench_.target_of(id));
            bench_.reply(id, 500);
        }
    }

    void one_failing_target_of_many_is_ejected()
    {
        for (auto const* const id : {"t1", "t2", "t3", "t4"})
            bench_.add_target(id, "m-a", 50);
        auto const bad = bench_.target_of(send_and_reply("17"));
        for (int n = 0; n != 30; ++n)
        {
            auto const id = bench_.send_request("/write/x", "17");
            bench_.reply(id, bench_.target_of(id) == bad ? 500 : 200);
        }
        CPPUNIT_ASSERT(bad != bench_.target_of(bench_.send_request("/write/x", "17")));
    }

    void a_misdirected_target_gets_no_requests_until_a_newer_notice()
    {
        auto& target = bench_.add_target("t1", "m-a");
        auto const id = bench_.send_request("/read/x", "17");
        bench_.fail(id, attempt_failure::misdirected, verdict::not_run);
        bench_.advance(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"),
                             bench_.outcome_of(bench_.send_request("/read/x", "17")));
        target.learned = bench_.now;
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             bench_.target_of(bench_.send_request("/read/x", "17")));
    }

    // Guards against a violation of BUDGET: a target that turned a request away and asked for a
    // pause got further requests, and their repeats.
    void a_target_that_asks_for_a_pause_gets_no_requests_until_it_ends()
    {
        bench_.add_target("t1", "m-a");
        bench_.add_target("t2", "m-a");
        for (int n = 0; n != 20; ++n) // Saves up the budget for a repeat.
            bench_.reply(bench_.send_request("/read/x", "17"));
        auto const first = bench_.send_request("/read/x", "17");
        auto const paused = bench_.target_of(first);
        bench_.turn_away(first, milliseconds(2000));
        CPPUNIT_ASSERT_MESSAGE("the repeat", bench_.target_of(first) != paused);
        bench_.reply(first);
        for (int n = 0; n != 19; ++n)
        {
            auto const id = bench_.send_request("/read/x", "17");
            CPPUNIT_ASSERT(bench_.target_of(id) != paused);
            bench_.reply(id);
            bench_.advance(milliseconds(100));
        }
        bench_.advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(paused, bench_.target_of(bench_.send_request("/read/x", "17")));
    }

    void answers_to_requests_in_flight_do_not_shorten_a_pause()
    {
        bench_.add_target("t1", "m-a");
        std::vector<request_id> in_flight;
        for (int n = 0; n != 4; ++n)
            in_flight.push_back(bench_.send_request("/read/x", "17"));
        bench_.turn_away(in_flight[0], milliseconds(3000));
        bench_.turn_away(in_flight[1], milliseconds(500));
        bench_.reply(in_flight[2]);
        bench_.fail(in_flight[3], attempt_failure::shed, verdict::not_run);
        bench_.advance(milliseconds(2900));
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"),
                             bench_.outcome_of(bench_.send_request("/read/x", "17")));
        bench_.advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             bench_.target_of(bench_.send_request("/read/x", "17")));
    }

    /// All targets of a service are overloaded and ask to be left alone.
    void requests_are_refused_at_once_while_all_targets_are_paused()
    {
        pause_three_targets();
        auto const id = bench_.send_request("/read/x", "17");
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), bench_.outcome_of(id));
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::not_run);
    }

    void callers_return_spread_after_the_first_pause()
    {
        pause_three_targets();
        std::set<milliseconds> returns;
        for (int n = 0; n != 50; ++n)
            returns.insert(*bench_.refusal(bench_.send_request("/read/x", "17")).retry_after);
        CPPUNIT_ASSERT_MESSAGE("not before the first pause ends",
                               *returns.begin() >= milliseconds(2000));
        CPPUNIT_ASSERT(*returns.rbegin() <= milliseconds(3000));
        CPPUNIT_ASSERT(returns.size() > 20);
    }

    // Guards against a violation of SHIFT: callers of a region whose targets pause must not move to
    // another region together.
    void requests_do_not_all_move_to_another_region_while_targets_are_paused()
    {
        pause_three_targets();
        for (int n = 0; n != 6; ++n)
            bench_.add_target("e" + std::to_string(n), "e-a", 30);
        int moved = 0;
        for (int n = 0; n != 100; ++n)
        {
            auto const id = bench_.send_request("/read/x", "17");
            moved += !bench_.target_of(id).empty();
            bench_.advance(milliseconds(10));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved <= 15);
    }

    // Guards against a violation of BUDGET: a pause of more than a minute was cut to one, and the
    // target got requests before its end.
    void a_long_pause_is_kept_as_it_was_asked_for()
    {
        bench_.add_target("t1", "m-a");
        bench_.turn_away(bench_.send_request("/read/x", "17"), seconds(1'000'000));
        for (auto const wait : {seconds(61), seconds(600), seconds(999'338)})
        {
            bench_.advance(wait);
            auto const id = bench_.send_request("/read/x", "17");
            CPPUNIT_ASSERT_EQUAL(std::string("no_room"), bench_.outcome_of(id));
        }
        bench_.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             bench_.target_of(bench_.send_request("/read/x", "17")));
    }

    // Guards against the loss of a target: one that started again under its id knows nothing of
    // the pause that the start before it asked for.
    void a_new_start_of_a_target_is_not_paused()
    {
        auto& target = bench_.add_target("t1", "m-a");
        bench_.turn_away(bench_.send_request("/read/x", "17"), seconds(50));
        auto const paused = bench_.send_request("/read/x", "17");
        CPPUNIT_ASSERT_EQUAL(std::string("no_room"), bench_.outcome_of(paused));
        target.what.start = start_id(2);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             bench_.target_of(bench_.send_request("/read/x", "17")));
    }

    void an_unsafe_request_that_may_have_run_is_not_retried()
    {
        add_three_targets();
        accumulate_retry_budget();
        auto const id = bench_.send_request("/write/x", "17");
        bench_.fail(id, attempt_failure::closed, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_.attempts_of(id));
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::may_have_run);
    }

    void an_unsafe_request_that_was_shed_is_retried_on_another_target()
    {
        add_three_targets();
        accumulate_retry_budget();
        auto const id = bench_.send_request("/write/x", "17");
        auto const first = bench_.target_of(id);
        bench_.fail(id, attempt_failure::shed, verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench_.attempts_of(id));
        CPPUNIT_ASSERT(first != bench_.target_of(id));
    }

    void a_safe_request_is_retried_up_to_the_target_limit_of_its_route()
    {
        add_three_targets();
        accumulate_retry_budget();
        auto const id = bench_.send_request("/read/x", "17");
        bench_.fail(id, attempt_failure::closed, verdict::may_have_run);
        bench_.fail(id, attempt_failure::closed, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench_.attempts_of(id));
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_open"), bench_.outcome_of(id));
    }

    /// Retries must not double the load of a service that fails every request.
    void retries_stay_within_their_budget()
    {
        add_three_targets();
        std::size_t attempts = 0;
        for (int n = 0; n != 500; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            while (bench_.outcome_of(id).empty())
                bench_.fail(id, attempt_failure::malformed, verdict::may_have_run);
            attempts += bench_.attempts_of(id);
            bench_.advance(milliseconds(5));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(attempts), attempts <= 500 + 50 + 4);
    }

    void a_request_ends_at_its_routes_timeout()
    {
        add_three_targets();
        auto const id = bench_.send_request("/read/x", "17");
        bench_.advance(milliseconds(1199));
        CPPUNIT_ASSERT(bench_.outcome_of(id).empty());
        bench_.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"), bench_.outcome_of(id));
    }

private:
    /// Adds three targets, which ask for pauses of 2, 3 and 4 s.
    void pause_three_targets()
    {
        for (int n = 0; n != 3; ++n)
        {
            auto const id = "t" + std::to_string(n);
            bench_.add_target(id, "m-a");
            auto const request = bench_.send_request("/write/x", "17");
            CPPUNIT_ASSERT_EQUAL(id, bench_.target_of(request));
            bench_.turn_away(request, seconds(2 + n));
        }
    }

    void add_three_targets()
    {
        for (auto const* const id : {"t1", "t2", "t3"})
            bench_.add_target(id, "m-a");
    }

    request_id send_and_reply(std::string const& object)
    {
        auto const id = bench_.send_request("/read/x", object);
        bench_.reply(id);
        return id;
    }

    /// Starts a rollout with one target of the old version, which has 1000 slots, and
    /// `targets` targets of the new version.
    void start_rollout(int targets, std::int64_t share)
    {
        bench_.add_target("old", "m-a", 1000);
        for (int n = 0; n != targets; ++n)
            bench_.add_target("new" + std::to_string(n), "m-a", 10).what.version = version_id("v2");
        auto state = *bench_.plan().current;
        state.versions[service_id("desk")] = {.base = version_id("v1"),
                                              .next = version_id("v2"),
                                              .share = per_mille(share),
                                              .phase = rollout_phase::running};
        bench_.set_steering(state);
    }

    void accumulate_retry_budget()
    {
        for (int n = 0; n != 40; ++n)
            bench_.reply(bench_.send_request("/read/x", "17"));
    }

    int count_requests_to_t2()
    {
        int out = 0;
        for (int n = 0; n != 1000; ++n)
        {
            auto const id = bench_.send_request("/read/x", std::to_string(n));
            out += bench_.target_of(id) == "t2";
            bench_.reply(id);
        }
        return out;
    }

    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace

} // namespace mulberryrudder::entry
