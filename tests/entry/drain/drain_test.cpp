#include "tests/entry/routing_support/rig.hpp"

#include <mulberryrudder/entry/drain_view.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_test);
    CPPUNIT_TEST(a_stopping_instance_serves_until_no_caller_can_know_it);
    CPPUNIT_TEST(a_stop_completes_only_once_nothing_runs);
    CPPUNIT_TEST(a_second_stop_request_does_not_prolong_the_stop);
    CPPUNIT_TEST(an_ordered_drain_does_not_end_the_process);
    CPPUNIT_TEST(a_drain_can_be_withdrawn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        it_.settle();
        it_.tell(target_at("t1", "m1", 5));
    }

    void a_stopping_instance_serves_until_no_caller_can_know_it()
    {
        it_.tell(stop_requested{});
        CPPUNIT_ASSERT(is_leaving());
        pass(milliseconds(46900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<close_idle_callers>().size());
        it_.ask();
        auto const sent = it_.take<send_attempt>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        it_.reply_to(sent[0].id);
        pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<close_idle_callers>().size());
    }

    void a_stop_completes_only_once_nothing_runs()
    {
        it_.tell(stop_requested{});
        pass(milliseconds(46900));
        it_.ask();
        auto const sent = it_.take<send_attempt>();
        pass(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<stop_completed>().size());
        it_.reply_to(sent.at(0).id);
        pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<stop_completed>().size());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             text_of(it_.take<answer_caller>().at(0).what));
        pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<stop_completed>().size());
    }

    void a_second_stop_request_does_not_prolong_the_stop()
    {
        it_.tell(stop_requested{});
        pass(seconds(40));
        it_.tell(stop_requested{});
        pass(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<stop_completed>().size());
    }

    void an_ordered_drain_does_not_end_the_process()
    {
        order_drain(true);
        CPPUNIT_ASSERT(is_leaving());
        pass(seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<stop_completed>().size());
    }

    void a_drain_can_be_withdrawn()
    {
        order_drain(true);
        order_drain(false);
        CPPUNIT_ASSERT(!is_leaving());
    }

private:
    bool is_leaving() { return it_.decisions().services().require<drain_view>().is_leaving(); }

    void pass(span elapsed)
    {
        it_.pass(elapsed);
        it_.tell(target_at("t1", "m1", 5));
        it_.pass(span(0));
    }

    void order_drain(bool ordered)
    {
        auto config = *config_with();
        if (ordered)
            config.draining.insert(instance_id(1));
        it_.lease({member_of(instance_at(1, "marmara", "m1"))},
                  std::make_shared<fleet_config const>(config));
    }

    rig it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);

} // namespace

} // namespace mulberryrudder::entry
