#include "tests/control/support/replica.hpp"

#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

using testing::replica;

plan_submission plan(std::uint64_t base, std::uint64_t number, std::string const& source)
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
    CPPUNIT_TEST(of_two_plans_on_one_base_one_wins);
    CPPUNIT_TEST(an_accepted_plan_is_acknowledged_again_whatever_followed);
    CPPUNIT_TEST(another_plan_under_an_accepted_number_is_a_conflict);
    CPPUNIT_TEST(an_invalid_plan_is_refused_with_every_error);
    CPPUNIT_TEST(a_resend_joins_the_order_that_waits);
    CPPUNIT_TEST(a_follower_names_nobody_it_does_not_know);
    CPPUNIT_TEST(a_follower_does_not_tell_a_plan);
    CPPUNIT_TEST(an_order_without_a_commit_is_left_open);
    CPPUNIT_TEST(an_evacuation_holds_until_it_is_taken_back);
    CPPUNIT_TEST(a_resent_rollout_is_acknowledged_and_not_started_anew);
    CPPUNIT_TEST(a_snapshot_keeps_what_was_accepted);
    CPPUNIT_TEST(a_told_state_never_replaces_a_newer_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_order_is_acknowledged_after_its_commit()
    {
        auto const id = it_.ask(plan(0, 5, "a"));
        it_.tick();
        CPPUNIT_ASSERT(!it_.has_answer(id));
        it_.log().commit_all();
        it_.tick();
        CPPUNIT_ASSERT(it_.answer<steering_answer>(id).result == order_result::accepted);
        CPPUNIT_ASSERT(newest() == plan_number(5));
    }

    void of_two_plans_on_one_base_one_wins()
    {
        auto const first = it_.ask(plan(0, 5, "a"));
        auto const second = it_.ask(plan(0, 6, "b"));
        it_.log().commit_all();
        it_.tick();
        CPPUNIT_ASSERT(it_.answer<steering_answer>(first).result == order_result::accepted);
        CPPUNIT_ASSERT(it_.answer<steering_answer>(second).result == order_result::conflict);
        CPPUNIT_ASSERT(newest() == plan_number(5));
    }

    void an_accepted_plan_is_acknowledged_again_whatever_followed()
    {
        put(0, 5, "a");
        put(5, 7, "b");
        CPPUNIT_ASSERT(it_.answer<steering_answer>(it_.ask(plan(0, 5, "a"))).result ==
                       order_result::accepted);
        CPPUNIT_ASSERT(newest() == plan_number(7));
    }

    void another_plan_under_an_accepted_number_is_a_conflict()
    {
        put(0, 5, "a");
        CPPUNIT_ASSERT(put(0, 5, "b") == order_result::conflict);
        CPPUNIT_ASSERT(put(5, 5, "b") == order_result::conflict);
        CPPUNIT_ASSERT(put(5, 4, "b") == order_result::conflict);
        CPPUNIT_ASSERT(newest() == plan_number(5));
    }

    void an_invalid_plan_is_refused_with_every_error()
    {
        auto bad = plan(0, 5, "a");
        auto changed = *bad.plan;
        changed.routes.front().host.clear();
        changed.routes.front().timeout = milliseconds(0);
        bad.plan = std::make_shared<traffic_plan const>(changed);
        auto const told = it_.answer<steering_answer>(it_.ask(bad));
        CPPUNIT_ASSERT(told.result == order_result::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.failed.size());
        CPPUNIT_ASSERT(it_.log().proposed.empty());
    }

    void a_resend_joins_the_order_that_waits()
    {
        auto const first = it_.ask(plan(0, 5, "a"));
        auto const again = it_.ask(plan(0, 5, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.log().proposed.size());
        it_.log().commit_all();
        it_.tick();
        CPPUNIT_ASSERT(it_.answer<steering_answer>(first).result == order_result::accepted);
        CPPUNIT_ASSERT(it_.answer<steering_answer>(again).result == order_result::accepted);
    }

    void a_follower_names_nobody_it_does_not_know()
    {
        it_.log().leads = false;
        CPPUNIT_ASSERT(!it_.answer<ask_elsewhere>(it_.ask(plan(0, 5, "a"))).leader);
    }

    void a_follower_does_not_tell_a_plan()
    {
        put(0, 5, "a");
        it_.log().leads = false;
        it_.answer<ask_elsewhere>(it_.ask(plan_question{}));
    }

    void an_order_without_a_commit_is_left_open()
    {
        auto const id = it_.ask(plan(0, 5, "a"));
        it_.tick(seconds(2));
        it_.answer<outcome_unknown>(id);
    }

    void an_evacuation_holds_until_it_is_taken_back()
    {
        domain_id const domain("m-a");
        it_.commit<steering_answer>(evacuation_order{domain, true});
        CPPUNIT_ASSERT(state()->evacuated.contains(domain));
        CPPUNIT_ASSERT(
            it_.answer<steering_answer>(it_.ask(evacuation_order{domain, true})).result ==
            order_result::accepted);
        it_.commit<steering_answer>(evacuation_order{domain, false});
        CPPUNIT_ASSERT(state()->evacuated.empty());
    }

    void a_resent_rollout_is_acknowledged_and_not_started_anew()
    {
        put(0, 5, "a");
        rollout_order const order{service_id("desk"), version_id("v2"), seconds(10)};
        it_.commit<steering_answer>(order);
        auto const generation = state()->generation;
        CPPUNIT_ASSERT(it_.answer<steering_answer>(it_.ask(order)).result ==
                       order_result::accepted);
        it_.tick();
        CPPUNIT_ASSERT(state()->generation == generation);
        CPPUNIT_ASSERT(state()->versions.at(service_id("desk")).phase == rollout_phase::running);
    }

    void a_snapshot_keeps_what_was_accepted()
    {
        put(0, 5, "a");
        put(5, 7, "b");
        it_.log().wants_snapshot = true;
        it_.tick();
        replica other;
        other.log().snapshot_to_load = it_.log().saved_snapshot;
        other.tick();
        CPPUNIT_ASSERT(other.answer<steering_answer>(other.ask(plan(0, 5, "a"))).result ==
                       order_result::accepted);
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             other.answer<plan_told>(other.ask(plan_question{})).plan->source);
    }

    void a_told_state_never_replaces_a_newer_one()
    {
        put(0, 5, "a");
        auto old = steering_state{.generation = generation_id(0)};
        view().learn(std::make_shared<steering_state const>(old));
        CPPUNIT_ASSERT(newest() == plan_number(5));
        auto later = steering_state{.generation = generation_id(99)};
        view().learn(std::make_shared<steering_state const>(later));
        CPPUNIT_ASSERT(state()->generation == generation_id(99));
        // What is decided here still goes by the log alone.
        CPPUNIT_ASSERT(put(5, 6, "b") == order_result::accepted);
    }

private:
    order_result put(std::uint64_t base, std::uint64_t number, std::string const& source)
    {
        return it_.commit<steering_answer>(plan(base, number, source)).result;
    }

    steering_view& view() { return it_.service<steering_view>(); }
    shared_steering state() { return view().steering(); }
    plan_number newest() { return state()->plan->number; }

    replica it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_test);

} // namespace

} // namespace mulberryrudder::control
