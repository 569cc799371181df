#include "plugins/entry/placement/target_loads.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class target_loads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_loads_test);
    CPPUNIT_TEST(requests_of_other_instances_are_known_by_report);
    CPPUNIT_TEST(a_report_fades_slowly);
    CPPUNIT_TEST(without_a_report_others_are_taken_to_send_alike);
    CPPUNIT_TEST(a_lost_connection_keeps_requests_off_for_longer_each_time);
    CPPUNIT_TEST(slow_requests_among_good_ones_do_not_make_a_target_lost);
    CPPUNIT_TEST(a_target_that_answers_nothing_is_doubted);
    CPPUNIT_TEST(a_targets_own_timeouts_are_no_fault);
    CPPUNIT_TEST(a_reply_broken_off_among_good_ones_is_no_loss);
    CPPUNIT_TEST(a_target_that_fails_many_requests_is_avoided_for_a_while);
    CPPUNIT_TEST(shedding_for_lack_of_room_is_no_fault);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_of_other_instances_are_known_by_report()
    {
        run({}, load_report{slots(7), slots(9)});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, it_.busy(id_, now_), 0.01);
        it_.started(id_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, it_.busy(id_, now_), 0.01);
    }

    void a_report_fades_slowly()
    {
        run({}, load_report{slots(8), slots(9)});
        now_ += seconds(1);
        CPPUNIT_ASSERT(it_.busy(id_, now_) > 6);
        now_ += seconds(30);
        CPPUNIT_ASSERT(it_.busy(id_, now_) < 0.1);
    }

    /// Pattern: traffic begins at all instances at once, before any target has replied.
    void without_a_report_others_are_taken_to_send_alike()
    {
        it_.set_senders(4);
        it_.started(id_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, it_.busy(id_, now_), 0.01);
        run({}, load_report{slots(2), slots(9)});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, it_.busy(id_, now_), 0.01);
    }

    void a_lost_connection_keeps_requests_off_for_longer_each_time()
    {
        run(attempt_failure::closed);
        CPPUNIT_ASSERT(avoided(now_ + milliseconds(299)));
        CPPUNIT_ASSERT(!avoided(now_ + milliseconds(301)));
        run(attempt_failure::closed);
        CPPUNIT_ASSERT(avoided(now_ + milliseconds(599)));
        run({});
        run(attempt_failure::closed);
        now_ += seconds(1);
        CPPUNIT_ASSERT(!avoided(now_));
    }

    /// Pattern: cold requests that run out of their time beside warm ones that do not.
    void slow_requests_among_good_ones_do_not_make_a_target_lost()
    {
        for (int n = 0; n != 50; ++n)
        {
            auto const began = now_;
            now_ += seconds(1);
            run({});
            end(attempt_failure::cancelled, began);
            CPPUNIT_ASSERT(!avoided(now_));
        }
    }

    /// Pattern: cold work that is longer than the time of its route.
    void a_targets_own_timeouts_are_no_fault()
    {
        for (int n = 0; n != 40; ++n)
            run({}, std::nullopt, 504);
        CPPUNIT_ASSERT(!avoided(now_));
    }

    void a_reply_broken_off_among_good_ones_is_no_loss()
    {
        auto const began = now_;
        now_ += milliseconds(300);
        run({});
        end(attempt_failure::closed, began);
        CPPUNIT_ASSERT(!avoided(now_));
    }

    void a_target_that_answers_nothing_is_doubted()
    {
        for (int n = 0; n != 3; ++n)
        {
            auto const began = now_;
            now_ += seconds(1);
            end(attempt_failure::timeout, began);
        }
        CPPUNIT_ASSERT(avoided(now_));
    }

    void a_target_that_fails_many_requests_is_avoided_for_a_while()
    {
        for (int n = 0; n != 20 && !avoided(now_); ++n)
            run({}, std::nullopt, n % 2 == 0 ? 500 : 200);
        CPPUNIT_ASSERT(avoided(now_ + seconds(3)));
        CPPUNIT_ASSERT(!avoided(now_ + seconds(5)));
    }

    void shedding_for_lack_of_room_is_no_fault()
    {
        for (int n = 0; n != 8; ++n)
            it_.started(id_);
        for (int n = 0; n != 40; ++n)
            run(attempt_failure::shed);
        CPPUNIT_ASSERT(!avoided(now_));
    }

private:
    bool avoided(instant when) const
    {
        return it_.is_lost(id_, now_, when) || it_.is_doubted(id_, when);
    }

    void run(std::optional<attempt_failure> cause, std::optional<load_report> load = {},
             std::uint16_t status = 200)
    {
        it_.started(id_);
        end(cause, now_, load, status);
    }

    void end(std::optional<attempt_failure> cause, instant began,
             std::optional<load_report> load = {}, std::uint16_t status = 200)
    {
        auto const content =
            std::make_shared<reply const>(reply{.status = status, .fields = {}, .body = {}});
        it_.ended(id_, {.failed = cause, .run = verdict::ran, .content = content, .load = load},
                  true, slots(9), began, now_);
    }

    target_loads it_;
    target_id id_{"t"};
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_loads_test);

} // namespace

} // namespace mulberryrudder::entry
