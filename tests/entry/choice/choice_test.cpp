#include "plugins/entry/choice/choice_policy.hpp"
#include "tests/entry/routing_support/rig.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace mulberryrudder::entry
{

namespace
{

target_view view_of(std::string const& id, std::int64_t limit, std::int64_t running,
                    std::optional<microseconds> latency)
{
    return {.id = target_id(id),
            .phase = target_phase::serving,
            .limit = slots(limit),
            .running = slots(running),
            .latency = latency};
}

class choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(choice_test);
    CPPUNIT_TEST(the_least_expected_latency_wins);
    CPPUNIT_TEST(own_observations_go_before_the_reported_load);
    CPPUNIT_TEST(an_unmeasured_target_is_judged_by_its_report);
    CPPUNIT_TEST(round_robin_takes_turns);
    CPPUNIT_TEST(an_unknown_policy_is_refused);
    CPPUNIT_TEST(no_target_runs_more_than_its_slots);
    CPPUNIT_TEST(a_retry_goes_to_another_target);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_least_expected_latency_wins()
    {
        auto const slow = view_of("slow", 8, 0, milliseconds(40));
        auto const fast = view_of("fast", 8, 4, milliseconds(10));
        auto const policy = make_choice_policy("least_expected_latency");
        CPPUNIT_ASSERT_EQUAL(std::string("fast"), policy->pick({&slow, &fast}, random_).id.value());
    }

    void own_observations_go_before_the_reported_load()
    {
        auto liar = view_of("liar", 8, 0, milliseconds(40));
        liar.reported = load_report{slots(0), slots(8)};
        auto honest = view_of("honest", 8, 0, milliseconds(10));
        honest.reported = load_report{slots(8), slots(8)};
        auto const policy = make_choice_policy("least_expected_latency");
        CPPUNIT_ASSERT_EQUAL(std::string("honest"),
                             policy->pick({&liar, &honest}, random_).id.value());
    }

    void an_unmeasured_target_is_judged_by_its_report()
    {
        auto full = view_of("full", 8, 0, {});
        full.reported = load_report{slots(8), slots(8)};
        auto const idle = view_of("idle", 8, 0, {});
        auto const policy = make_choice_policy("least_expected_latency");
        CPPUNIT_ASSERT_EQUAL(std::string("idle"), policy->pick({&full, &idle}, random_).id.value());
    }

    void round_robin_takes_turns()
    {
        auto const a = view_of("a", 8, 0, {});
        auto const b = view_of("b", 8, 7, {});
        auto const policy = make_choice_policy("round_robin");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), policy->pick({&a, &b}, random_).id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), policy->pick({&a, &b}, random_).id.value());
    }

    void an_unknown_policy_is_refused() { CPPUNIT_ASSERT(make_choice_policy("best") == nullptr); }

    void no_target_runs_more_than_its_slots()
    {
        // Turns lead to full targets, which other policies avoid by themselves.
        auto settings = kernel::settings::defaults();
        settings.set(choice_section, {.policy = "round_robin"});
        rig it(rig::options{.config = settings});
        it.settle();
        it.tell(target_at("t1", "m1", 2));
        it.tell(target_at("t2", "m1", 3));
        for (int n = 0; n != 9; ++n)
            it.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, it.take<send_attempt>().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, it.target("t1")->running.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, it.target("t2")->running.count());
    }

    void a_retry_goes_to_another_target()
    {
        rig it;
        it.settle();
        it.tell(target_at("t1", "m1", 2));
        it.tell(target_at("t2", "m1", 2));
        it.ask();
        auto const first = it.take<send_attempt>().at(0);
        it.fail(first.id, attempt_failure::connect_timeout, verdict::not_run);
        for (auto const& second : it.take<send_attempt>())
            CPPUNIT_ASSERT(first.target != second.target);
    }

private:
    random_source random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(choice_test);

} // namespace

} // namespace mulberryrudder::entry
