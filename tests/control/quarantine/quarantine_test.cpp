#include "bench/instant_log.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

digest const fingerprint = sha256("poison");

class quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(one_death_quarantines_nothing);
    CPPUNIT_TEST(two_deaths_reported_by_two_entries_quarantine_the_request);
    CPPUNIT_TEST(a_quarantine_ends_after_the_configured_time);
    CPPUNIT_TEST(deaths_outside_the_suspect_window_quarantine_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        effects todo;
        core_.handle(now_, disk_recovered{}, todo);
        advance(seconds(1));
    }

    void one_death_quarantines_nothing()
    {
        report_death(1);
        CPPUNIT_ASSERT(!is_quarantined());
    }

    void two_deaths_reported_by_two_entries_quarantine_the_request()
    {
        report_death(1);
        report_death(2);
        CPPUNIT_ASSERT(is_quarantined());
    }

    void a_quarantine_ends_after_the_configured_time()
    {
        report_death(1);
        report_death(2);
        advance(seconds(599));
        CPPUNIT_ASSERT(is_quarantined());
        advance(seconds(3));
        advance(seconds(1));
        CPPUNIT_ASSERT(!is_quarantined());
    }

    void deaths_outside_the_suspect_window_quarantine_nothing()
    {
        report_death(1);
        advance(seconds(61));
        report_death(2);
        CPPUNIT_ASSERT(!is_quarantined());
    }

private:
    bool is_quarantined()
    {
        return core_.services().find<fleet_state_view>()->config()->quarantined.contains(
            fingerprint);
    }

    void advance(span elapsed)
    {
        now_ += elapsed;
        effects todo;
        core_.tick(now_, todo);
    }

    void report_death(std::uint32_t sender)
    {
        messages::renew_request request;
        request.suspects.push_back(fingerprint);
        effects todo;
        core_.handle(
            now_, message_arrived{{instance_id(sender), instance_id(1), any_message::of(request)}},
            todo);
        advance(milliseconds(100));
    }

    instant now_{seconds(1000)};
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    core core_{{.config = config_,
                .counters = counters_,
                .events = events_,
                .self = {.self = {.id = instance_id(1)}},
                .seed = 1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_test);

} // namespace

} // namespace mulberryrudder::control
