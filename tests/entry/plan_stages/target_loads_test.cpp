#include "plugins/entry/placement/target_loads.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class target_loads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_loads_test);
    CPPUNIT_TEST(load_reports_count_requests_of_other_instances);
    CPPUNIT_TEST(a_reported_load_decays_slowly);
    CPPUNIT_TEST(without_a_report_other_instances_are_assumed_to_send_the_same_load);
    CPPUNIT_TEST(each_connection_failure_doubles_the_unreachable_time);
    CPPUNIT_TEST(slow_requests_among_successful_ones_do_not_eject_a_target);
    CPPUNIT_TEST(a_target_whose_requests_all_time_out_is_ejected);
    CPPUNIT_TEST(replies_with_a_timeout_status_are_no_failures);
    CPPUNIT_TEST(a_connection_closed_among_successful_requests_does_not_eject_a_target);
    CPPUNIT_TEST(a_target_with_a_high_failure_rate_is_ejected_temporarily);
    CPPUNIT_TEST(shedding_at_full_load_is_no_failure);
    CPPUNIT_TEST_SUITE_END();

public:
    void load_reports_count_requests_of_other_instances()
    {
        run_attempt({}, load_report{slots(7), slots(9)});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, loads_.busy(id_, now_), 0.01);
        loads_.started(id_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, loads_.busy(id_, now_), 0.01);
    }

    void a_reported_load_decays_slowly()
    {
        run_attempt({}, load_report{slots(8), slots(9)});
        now_ += seconds(1);
        CPPUNIT_ASSERT(loads_.busy(id_, now_) > 6);
        now_ += seconds(30);
        CPPUNIT_ASSERT(loads_.busy(id_, now_) < 0.1);
    }

    /// Traffic starts at all instances at once, before any target has replied.
    void without_a_report_other_instances_are_assumed_to_send_the_same_load()
    {
        loads_.set_instance_count(4);
        loads_.started(id_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, loads_.busy(id_, now_), 0.01);
        run_attempt({}, load_report{slots(2), slots(9)});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, loads_.busy(id_, now_), 0.01);
    }

    void each_connection_failure_doubles_the_unreachable_time()
    {
        run_attempt(attempt_failure::closed);
        CPPUNIT_ASSERT(is_unavailable(now_ + milliseconds(299)));
        CPPUNIT_ASSERT(!is_unavailable(now_ + milliseconds(301)));
        run_attempt(attempt_failure::closed);
        CPPUNIT_ASSERT(is_unavailable(now_ + milliseconds(599)));
        run_attempt({});
        run_attempt(attempt_failure::closed);
        now_ += seconds(1);
        CPPUNIT_ASSERT(!is_unavailable(now_));
    }

    /// Requests on cold objects time out while those on warm objects succeed.
    void slow_requests_among_successful_ones_do_not_eject_a_target()
    {
        for (int n = 0; n != 50; ++n)
        {
            auto const started = now_;
            now_ += seconds(1);
            run_attempt({});
            end_attempt(attempt_failure::cancelled, started);
            CPPUNIT_ASSERT(!is_unavailable(now_));
        }
    }

    /// The work on cold objects takes longer than the timeout of its route.
    void replies_with_a_timeout_status_are_no_failures()
    {
        for (int n = 0; n != 40; ++n)
            run_attempt({}, std::nullopt, 504);
        CPPUNIT_ASSERT(!is_unavailable(now_));
    }

    void a_connection_closed_among_successful_requests_does_not_eject_a_target()
    {
        auto const started = now_;
        now_ += milliseconds(300);
        run_attempt({});
        end_attempt(attempt_failure::closed, started);
        CPPUNIT_ASSERT(!is_unavailable(now_));
    }

    void a_target_whose_requests_all_time_out_is_ejected()
    {
        for (int n = 0; n != 3; ++n)
        {
            auto const started = now_;
            now_ += seconds(1);
            end_attempt(attempt_failure::timeout, started);
        }
        CPPUNIT_ASSERT(is_unavailable(now_));
    }

    void a_target_with_a_high_failure_rate_is_ejected_temporarily()
    {
        for (int n = 0; n != 20 && !is_unavailable(now_); ++n)
            run_attempt({}, std::nullopt, n % 2 == 0 ? 500 : 200);
        CPPUNIT_ASSERT(is_unavailable(now_ + seconds(3)));
        CPPUNIT_ASSERT(!is_unavailable(now_ + seconds(5)));
    }

    void shedding_at_full_load_is_no_failure()
    {
        for (int n = 0; n != 8; ++n)
            loads_.started(id_);
        for (int n = 0; n != 40; ++n)
            run_attempt(attempt_failure::shed);
        CPPUNIT_ASSERT(!is_unavailable(now_));
    }

private:
    bool is_unavailable(instant time) const
    {
        return loads_.is_unreachable(id_, now_, time) || loads_.is_ejected(id_, time);
    }

    void run_attempt(std::optional<attempt_failure> cause, std::optional<load_report> load = {},
                     std::uint16_t status = 200)
    {
        loads_.started(id_);
        end_attempt(cause, now_, load, status);
    }

    void end_attempt(std::optional<attempt_failure> cause, instant started,
                     std::optional<load_report> load = {}, std::uint16_t status = 200)
    {
        auto const content =
            std::make_shared<reply const>(reply{.status = status, .fields = {}, .body = {}});
        loads_.ended(id_, {.failed = cause, .run = verdict::ran, .content = content, .load = load},
                     true, slots(9), started, now_);
    }

    target_loads loads_;
    target_id id_{"t"};
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_loads_test);

} // namespace

} // namespace mulberryrudder::entry
