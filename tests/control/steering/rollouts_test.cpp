#include "tests/control/support/replica.hpp"

#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace mulberryrudder::control
{

namespace
{

using testing::replica;

service_id const desk("desk");
version_id const v1("v1");
version_id const v2("v2");

/// Stands for the roster: the test says what targets there are and how they do.
class fake_roster final : public component, public roster_view
{
public:
    explicit fake_roster(component_parts const& parts)
    {
        parts.services.provide<roster_view>(*this);
        parts.services.provide<fake_roster>(*this);
    }

    std::vector<version_id> versions_of(service_id const&) const override { return known; }
    slots capacity_of(service_id const&, version_id const& version) const override
    {
        return version == v2 ? fresh : old;
    }
    std::vector<instance_description> control_since(instant) const override { return {}; }
    std::vector<messages::version_outcomes> take_outcomes() override
    {
        return std::exchange(outcomes, {});
    }

    std::vector<version_id> known{v1, v2};
    slots old{100};
    slots fresh{100};
    std::vector<messages::version_outcomes> outcomes;
};

component_registrar<fake_roster> const entered{"fake_roster", component_order::roster};

class rollouts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollouts_test);
    CPPUNIT_TEST(the_first_version_is_the_base);
    CPPUNIT_TEST(a_good_version_succeeds_before_its_deadline);
    CPPUNIT_TEST(a_good_version_is_given_little_until_late);
    CPPUNIT_TEST(a_bad_version_is_taken_back_at_once);
    CPPUNIT_TEST(a_version_that_fails_a_tenth_is_taken_back);
    CPPUNIT_TEST(a_version_that_is_far_too_slow_is_taken_back);
    CPPUNIT_TEST(what_befalls_the_targets_of_both_is_no_reason);
    CPPUNIT_TEST(a_cold_version_that_is_late_at_times_goes_on);
    CPPUNIT_TEST(failures_that_the_old_version_has_too_are_no_reason);
    CPPUNIT_TEST(a_version_without_room_waits);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        traffic_plan plan{.number = plan_number(1)};
        plan.services = {{.id = desk, .health_path = {}, .most_connections = {}}};
        plan.source = "a";
        it_.commit<steering_answer>(
            plan_submission{plan_number(0), std::make_shared<traffic_plan const>(plan), {}});
        run(seconds(1));
    }

    void the_first_version_is_the_base() { CPPUNIT_ASSERT(versions().base == v1); }

    void a_good_version_succeeds_before_its_deadline()
    {
        order();
        run(seconds(10), 0);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::succeeded);
        CPPUNIT_ASSERT(versions().base == v2);
    }

    void a_good_version_is_given_little_until_late()
    {
        order();
        for (int n = 0; n != 7; ++n)
        {
            run(seconds(1), 0);
            CPPUNIT_ASSERT(versions().share <= per_mille(50));
        }
        run(seconds(1), 0);
        CPPUNIT_ASSERT(versions().share <= per_mille(120));
        CPPUNIT_ASSERT(versions().phase == rollout_phase::running);
    }

    void a_bad_version_is_taken_back_at_once()
    {
        order();
        run(milliseconds(600), 5);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::rolled_back);
        CPPUNIT_ASSERT(versions().base == v1);
        run(seconds(20), 0);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::rolled_back);
    }

    /// Pattern: a version that fails under load only (found by a hunt on basamak-yaris,
    /// mix with seed 18258443660: 117 in 1000 bad against 10).
    void a_version_that_fails_a_tenth_is_taken_back()
    {
        order();
        run(seconds(3), 1);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::rolled_back);
    }

    void a_version_that_is_far_too_slow_is_taken_back()
    {
        order();
        run(seconds(3), 0, 0, 6);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::rolled_back);
    }

    /// Pattern: replies of some targets are lost while a good version is rolled out
    /// (nbcct-lb, trouble-1: 78 in 1000 against 29).
    void what_befalls_the_targets_of_both_is_no_reason()
    {
        order();
        run(seconds(5), 2, 1);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::running);
    }

    void a_cold_version_that_is_late_at_times_goes_on()
    {
        order();
        run(seconds(5), 0, 0, 2);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::running);
    }

    void failures_that_the_old_version_has_too_are_no_reason()
    {
        order();
        run(seconds(5), 5, 5);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::running);
    }

    /// Pattern: targets of the new version are lost while it is rolled out.
    void a_version_without_room_waits()
    {
        it_.service<fake_roster>().fresh = slots(40);
        order();
        run(seconds(12), 0);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::running);
        it_.service<fake_roster>().fresh = slots(90);
        run(seconds(1), 0);
        CPPUNIT_ASSERT(versions().phase == rollout_phase::succeeded);
    }

private:
    void order() { it_.commit<steering_answer>(rollout_order{desk, v2, seconds(10)}); }

    /// Lets time pass; each tenth of a second ten answers of each version come, so many
    /// of them bad.
    void run(span time, std::uint64_t bad = 0, std::uint64_t bad_old = 0, std::uint64_t late = 0)
    {
        for (span passed{0}; passed < time; passed += milliseconds(100))
        {
            auto& to = it_.service<fake_roster>().outcomes;
            to.push_back(
                {.service = desk, .version = v2, .answered = 10, .bad = bad, .late = late});
            to.push_back({.service = desk, .version = v1, .answered = 10, .bad = bad_old});
            it_.tick(milliseconds(100));
            it_.log().commit_all();
            it_.tick(milliseconds(0));
        }
    }

    service_versions versions()
    {
        return it_.service<steering_view>().steering()->versions.at(desk);
    }

    replica it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollouts_test);

} // namespace

} // namespace mulberryrudder::control
