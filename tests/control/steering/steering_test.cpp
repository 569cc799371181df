#include "tests/control/support/replica.hpp"

#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

using testing::replica;

plan_submission submission(std::uint64_t base, std::uint64_t number, std::string const& source)
{
    traffic_plan out{.number = plan_number(number)};
    out.services = {{.id = service_id("desk"), .health_path = {}, .most_connections = {}}};
    out.routes = {{.id = route_id("r"),
                   .host = "h",
                   .path_prefix = "/",
                   .timeout = milliseconds(100),
                   .services = {{service_id("desk"), weight(1)}},
                   .homes = {}}};
    out.source = source;
    return {.base = plan_number(base),
            .plan = std::make_shared<traffic_plan const>(std::move(out)),
            .failed = {}};
}

class steering_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(steering_test);
    CPPUNIT_TEST(an_order_is_acknowledged_after_its_commit);
    CPPUNIT_TEST(of_two_plans_on_the_same_base_one_is_accepted);
    CPPUNIT_TEST(a_resent_plan_is_acknowledged_after_a_later_plan);
    CPPUNIT_TEST(a_different_plan_with_an_accepted_number_is_a_conflict);
    CPPUNIT_TEST(an_invalid_plan_is_refused_with_every_error);
    CPPUNIT_TEST(a_resent_order_is_proposed_once);
    CPPUNIT_TEST(a_follower_without_a_known_leader_redirects_without_an_address);
    CPPUNIT_TEST(a_follower_redirects_plan_queries);
    CPPUNIT_TEST(an_order_that_is_not_committed_in_time_has_an_unknown_outcome);
    CPPUNIT_TEST(a_planned_stop_waits_for_the_answer_to_an_order);
    CPPUNIT_TEST(a_planned_stop_does_not_wait_for_orders_that_come_later);
    CPPUNIT_TEST(an_evacuation_holds_until_it_is_ended);
    CPPUNIT_TEST(a_resent_rollout_is_acknowledged_and_not_restarted);
    CPPUNIT_TEST(a_snapshot_contains_the_accepted_plans);
    CPPUNIT_TEST(a_received_state_never_replaces_a_newer_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_order_is_acknowledged_after_its_commit()
    {
        auto const id = replica_.ask(submission(0, 5, "a"));
        replica_.tick();
        CPPUNIT_ASSERT(!replica_.has_answer(id));
        replica_.log().commit_all();
        replica_.tick();
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(id).result == order_result::accepted);
        CPPUNIT_ASSERT(newest() == plan_number(5));
    }

    void of_two_plans_on_the_same_base_one_is_accepted()
    {
        auto const first = replica_.ask(submission(0, 5, "a"));
        auto const second = replica_.ask(submission(0, 6, "b"));
        replica_.log().commit_all();
        replica_.tick();
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(first).result == order_result::accepted);
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(second).result == order_result::conflict);
        CPPUNIT_ASSERT(newest() == plan_number(5));
    }

    void a_resent_plan_is_acknowledged_after_a_later_plan()
    {
        submit(0, 5, "a");
        submit(5, 7, "b");
        CPPUNIT_ASSERT(
            replica_.answer<steering_answer>(replica_.ask(submission(0, 5, "a"))).result ==
            order_result::accepted);
        CPPUNIT_ASSERT(newest() == plan_number(7));
    }

    void a_different_plan_with_an_accepted_number_is_a_conflict()
    {
        submit(0, 5, "a");
        CPPUNIT_ASSERT(submit(0, 5, "b") == order_result::conflict);
        CPPUNIT_ASSERT(submit(5, 5, "b") == order_result::conflict);
        CPPUNIT_ASSERT(submit(5, 4, "b") == order_result::conflict);
        CPPUNIT_ASSERT(newest() == plan_number(5));
    }

    void an_invalid_plan_is_refused_with_every_error()
    {
        auto invalid = submission(0, 5, "a");
        auto changed = *invalid.plan;
        changed.routes.front().host.clear();
        changed.routes.front().timeout = milliseconds(0);
        invalid.plan = std::make_shared<traffic_plan const>(changed);
        auto const answer = replica_.answer<steering_answer>(replica_.ask(invalid));
        CPPUNIT_ASSERT(answer.result == order_result::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.failed.size());
        CPPUNIT_ASSERT(replica_.log().proposed.empty());
    }

    void a_resent_order_is_proposed_once()
    {
        auto const first = replica_.ask(submission(0, 5, "a"));
        auto const resent = replica_.ask(submission(0, 5, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica_.log().proposed.size());
        replica_.log().commit_all();
        replica_.tick();
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(first).result == order_result::accepted);
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(resent).result == order_result::accepted);
    }

    void a_follower_without_a_known_leader_redirects_without_an_address()
    {
        replica_.log().leads = false;
        CPPUNIT_ASSERT(!replica_.answer<ask_elsewhere>(replica_.ask(submission(0, 5, "a"))).leader);
    }

    void a_follower_redirects_plan_queries()
    {
        submit(0, 5, "a");
        replica_.log().leads = false;
        replica_.answer<ask_elsewhere>(replica_.ask(plan_question{}));
    }

    void an_order_that_is_not_committed_in_time_has_an_unknown_outcome()
    {
        auto const id = replica_.ask(submission(0, 5, "a"));
        replica_.tick(seconds(2));
        replica_.answer<outcome_unknown>(id);
    }

    // Guards against orders that had just been accepted and were cut off without an answer by a
    // planned stop.
    void a_planned_stop_waits_for_the_answer_to_an_order()
    {
        replica_.recover();
        auto const id = replica_.ask(submission(0, 5, "a"));
        replica_.request_stop();
        run_for(milliseconds(500));
        CPPUNIT_ASSERT(!replica_.has_stopped());
        replica_.log().commit_all();
        replica_.tick();
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(id).result == order_result::accepted);
        CPPUNIT_ASSERT_MESSAGE("the answer is on its way", !replica_.has_stopped());
        run_for(milliseconds(200));
        CPPUNIT_ASSERT(replica_.has_stopped());
    }

    void a_planned_stop_does_not_wait_for_orders_that_come_later()
    {
        replica_.recover();
        replica_.request_stop();
        for (int n = 0; n != 100 && !replica_.has_stopped(); ++n)
        {
            replica_.ask(submission(0, 5, "a"));
            replica_.tick();
        }
        CPPUNIT_ASSERT(replica_.has_stopped());
    }

    void an_evacuation_holds_until_it_is_ended()
    {
        domain_id const domain("m-a");
        replica_.commit<steering_answer>(evacuation_order{domain, true});
        CPPUNIT_ASSERT(state()->evacuated.contains(domain));
        CPPUNIT_ASSERT(
            replica_.answer<steering_answer>(replica_.ask(evacuation_order{domain, true})).result ==
            order_result::accepted);
        replica_.commit<steering_answer>(evacuation_order{domain, false});
        CPPUNIT_ASSERT(state()->evacuated.empty());
    }

    void a_resent_rollout_is_acknowledged_and_not_restarted()
    {
        submit(0, 5, "a");
        rollout_order const order{service_id("desk"), version_id("v2"), seconds(10)};
        replica_.commit<steering_answer>(order);
        auto const generation = state()->generation;
        CPPUNIT_ASSERT(replica_.answer<steering_answer>(replica_.ask(order)).result ==
                       order_result::accepted);
        replica_.tick();
        CPPUNIT_ASSERT(state()->generation == generation);
        CPPUNIT_ASSERT(state()->versions.at(service_id("desk")).phase == rollout_phase::running);
    }

    void a_snapshot_contains_the_accepted_plans()
    {
        submit(0, 5, "a");
        submit(5, 7, "b");
        replica_.log().wants_snapshot = true;
        replica_.tick();
        replica restored;
        restored.log().snapshot_to_load = replica_.log().saved_snapshot;
        restored.tick();
        CPPUNIT_ASSERT(
            restored.answer<steering_answer>(restored.ask(submission(0, 5, "a"))).result ==
            order_result::accepted);
        CPPUNIT_ASSERT_EQUAL(
            std::string("b"),
            restored.answer<plan_told>(restored.ask(plan_question{})).plan->source);
    }

    void a_received_state_never_replaces_a_newer_one()
    {
        submit(0, 5, "a");
        auto old = steering_state{.generation = generation_id(0)};
        view().learn(std::make_shared<steering_state const>(old));
        CPPUNIT_ASSERT(newest() == plan_number(5));
        auto later = steering_state{.generation = generation_id(99)};
        view().learn(std::make_shared<steering_state const>(later));
        CPPUNIT_ASSERT(state()->generation == generation_id(99));
        // Decisions of this instance still depend on the log only.
        CPPUNIT_ASSERT(submit(5, 6, "b") == order_result::accepted);
    }

private:
    void run_for(span duration)
    {
        for (span elapsed{0}; elapsed < duration; elapsed += milliseconds(10))
            replica_.tick(milliseconds(10));
    }

    order_result submit(std::uint64_t base, std::uint64_t number, std::string const& source)
    {
        return replica_.commit<steering_answer>(submission(base, number, source)).result;
    }

    steering_view& view() { return replica_.service<steering_view>(); }
    shared_steering state() { return view().steering(); }
    plan_number newest() { return state()->plan->number; }

    replica replica_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_test);

} // namespace

} // namespace mulberryrudder::control
