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
    CPPUNIT_TEST(the_target_with_the_least_expected_latency_is_selected);
    CPPUNIT_TEST(observed_latency_takes_precedence_over_the_reported_load);
    CPPUNIT_TEST(a_target_without_replies_is_rated_by_its_reported_load);
    CPPUNIT_TEST(round_robin_selects_targets_in_turn);
    CPPUNIT_TEST(an_unknown_policy_is_rejected);
    CPPUNIT_TEST(no_target_runs_more_requests_than_its_slots);
    CPPUNIT_TEST(a_retry_goes_to_another_target);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_target_with_the_least_expected_latency_is_selected()
    {
        auto const slow = view_of("slow", 8, 0, milliseconds(40));
        auto const fast = view_of("fast", 8, 4, milliseconds(10));
        auto const policy = make_choice_policy("least_expected_latency");
        CPPUNIT_ASSERT_EQUAL(std::string("fast"), policy->pick({&slow, &fast}, random_).id.value());
    }

    void observed_latency_takes_precedence_over_the_reported_load()
    {
        auto idle_report = view_of("idle_report", 8, 0, milliseconds(40));
        idle_report.reported = load_report{slots(0), slots(8)};
        auto busy_report = view_of("busy_report", 8, 0, milliseconds(10));
        busy_report.reported = load_report{slots(8), slots(8)};
        auto const policy = make_choice_policy("least_expected_latency");
        CPPUNIT_ASSERT_EQUAL(std::string("busy_report"),
                             policy->pick({&idle_report, &busy_report}, random_).id.value());
    }

    void a_target_without_replies_is_rated_by_its_reported_load()
    {
        auto full = view_of("full", 8, 0, {});
        full.reported = load_report{slots(8), slots(8)};
        auto const idle = view_of("idle", 8, 0, {});
        auto const policy = make_choice_policy("least_expected_latency");
        CPPUNIT_ASSERT_EQUAL(std::string("idle"), policy->pick({&full, &idle}, random_).id.value());
    }

    void round_robin_selects_targets_in_turn()
    {
        auto const a = view_of("a", 8, 0, {});
        auto const b = view_of("b", 8, 7, {});
        auto const policy = make_choice_policy("round_robin");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), policy->pick({&a, &b}, random_).id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), policy->pick({&a, &b}, random_).id.value());
    }

    void an_unknown_policy_is_rejected() { CPPUNIT_ASSERT(make_choice_policy("best") == nullptr); }

    void no_target_runs_more_requests_than_its_slots()
    {
        // Round robin also selects full targets, which other policies avoid by themselves.
        auto settings = kernel::settings::defaults();
        settings.set(choice_section, {.policy = "round_robin"});
        rig entry_rig(rig::options{.config = settings});
        entry_rig.settle();
        entry_rig.tell(target_at("t1", "m1", 2));
        entry_rig.tell(target_at("t2", "m1", 3));
        for (int n = 0; n != 9; ++n)
            entry_rig.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, entry_rig.take<send_attempt>().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, entry_rig.target("t1")->running.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, entry_rig.target("t2")->running.count());
    }

    void a_retry_goes_to_another_target()
    {
        rig entry_rig;
        entry_rig.settle();
        entry_rig.tell(target_at("t1", "m1", 2));
        entry_rig.tell(target_at("t2", "m1", 2));
        entry_rig.ask();
        auto const first = entry_rig.take<send_attempt>().at(0);
        entry_rig.fail(first.id, attempt_failure::connect_timeout, verdict::not_run);
        for (auto const& second : entry_rig.take<send_attempt>())
            CPPUNIT_ASSERT(first.target != second.target);
    }

private:
    random_source random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(choice_test);

} // namespace

} // namespace mulberryrudder::entry
