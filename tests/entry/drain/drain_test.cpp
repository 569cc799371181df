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
    CPPUNIT_TEST(a_stopping_instance_serves_until_the_grace_period_ends);
    CPPUNIT_TEST(a_stop_completes_only_when_no_request_is_unfinished);
    CPPUNIT_TEST(a_second_stop_request_does_not_extend_the_stop);
    CPPUNIT_TEST(a_drain_does_not_stop_the_process);
    CPPUNIT_TEST(an_instance_serves_again_after_its_drain_is_withdrawn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        rig_.settle();
        rig_.tell(target_at("t1", "m1", 5));
    }

    void a_stopping_instance_serves_until_the_grace_period_ends()
    {
        rig_.tell(stop_requested{});
        CPPUNIT_ASSERT(is_leaving());
        pass(milliseconds(46900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig_.take<close_idle_callers>().size());
        rig_.ask();
        auto const sent = rig_.take<send_attempt>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        rig_.reply_to(sent[0].id);
        pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig_.take<close_idle_callers>().size());
    }

    void a_stop_completes_only_when_no_request_is_unfinished()
    {
        rig_.tell(stop_requested{});
        pass(milliseconds(46900));
        rig_.ask();
        auto const sent = rig_.take<send_attempt>();
        pass(milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig_.take<stop_completed>().size());
        rig_.reply_to(sent.at(0).id);
        pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig_.take<stop_completed>().size());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                             text_of(rig_.take<answer_caller>().at(0).what));
        pass(milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig_.take<stop_completed>().size());
    }

    void a_second_stop_request_does_not_extend_the_stop()
    {
        rig_.tell(stop_requested{});
        pass(seconds(40));
        rig_.tell(stop_requested{});
        pass(seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig_.take<stop_completed>().size());
    }

    void a_drain_does_not_stop_the_process()
    {
        order_drain(true);
        CPPUNIT_ASSERT(is_leaving());
        pass(seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig_.take<stop_completed>().size());
    }

    void an_instance_serves_again_after_its_drain_is_withdrawn()
    {
        order_drain(true);
        order_drain(false);
        CPPUNIT_ASSERT(!is_leaving());
    }

private:
    bool is_leaving() { return rig_.decisions().services().require<drain_view>().is_leaving(); }

    void pass(span elapsed)
    {
        rig_.pass(elapsed);
        rig_.tell(target_at("t1", "m1", 5));
        rig_.pass(span(0));
    }

    void order_drain(bool ordered)
    {
        auto config = *config_with();
        if (ordered)
            config.draining.insert(instance_id(1));
        rig_.lease({member_of(instance_at(1, "marmara", "m1"))},
                   std::make_shared<fleet_config const>(config));
    }

    rig rig_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);

} // namespace

} // namespace mulberryrudder::entry
