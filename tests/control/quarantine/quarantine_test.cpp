#include "bench/instant_log.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

digest const print = sha256("poison");

class quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(one_death_lists_nothing);
    CPPUNIT_TEST(two_deaths_by_two_entries_list_the_request);
    CPPUNIT_TEST(the_list_ends_after_the_stated_time);
    CPPUNIT_TEST(deaths_far_apart_do_not_count_together);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        effects todo;
        core_.handle(now_, disk_recovered{}, todo);
        pass(seconds(1));
    }

    void one_death_lists_nothing()
    {
        report(1);
        CPPUNIT_ASSERT(!is_listed());
    }

    void two_deaths_by_two_entries_list_the_request()
    {
        report(1);
        report(2);
        CPPUNIT_ASSERT(is_listed());
    }

    void the_list_ends_after_the_stated_time()
    {
        report(1);
        report(2);
        pass(seconds(599));
        CPPUNIT_ASSERT(is_listed());
        pass(seconds(3));
        pass(seconds(1));
        CPPUNIT_ASSERT(!is_listed());
    }

    void deaths_far_apart_do_not_count_together()
    {
        report(1);
        pass(seconds(61));
        report(2);
        CPPUNIT_ASSERT(!is_listed());
    }

private:
    bool is_listed()
    {
        return core_.services().find<fleet_state_view>()->config()->quarantined.contains(print);
    }

    void pass(span time)
    {
        now_ += time;
        effects todo;
        core_.tick(now_, todo);
    }

    void report(std::uint32_t from)
    {
        messages::renew_request it;
        it.suspects.push_back(print);
        effects todo;
        core_.handle(
            now_, message_arrived{{instance_id(from), instance_id(1), any_message::of(it)}}, todo);
        pass(milliseconds(100));
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
