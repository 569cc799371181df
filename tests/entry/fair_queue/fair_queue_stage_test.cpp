#include "tests/entry/routing_support/rig.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class fair_queue_stage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_queue_stage_test);
    CPPUNIT_TEST(a_request_waits_for_a_free_slot);
    CPPUNIT_TEST(another_customer_goes_before_a_backlog);
    CPPUNIT_TEST(a_request_that_cannot_end_in_time_is_refused_as_not_run);
    CPPUNIT_TEST(a_request_behind_a_long_queue_is_refused_at_once);
    CPPUNIT_TEST(a_waiting_request_is_refused_once_it_is_too_late);
    CPPUNIT_TEST(a_route_without_targets_is_refused);
    CPPUNIT_TEST(a_customer_cannot_fill_the_queue_for_others);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        it_.settle();
        it_.tell(target_at("t1", "m1", 1));
    }

    void a_request_waits_for_a_free_slot()
    {
        it_.ask();
        it_.ask();
        auto const first = it_.take<send_attempt>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        it_.reply_to(first[0].id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.take<send_attempt>().size());
    }

    void another_customer_goes_before_a_backlog()
    {
        for (int n = 0; n != 10; ++n)
            it_.ask(seconds(10), "large");
        auto const small = it_.ask(seconds(10), "small");
        finish_running();
        CPPUNIT_ASSERT_EQUAL(small.value(), it_.take<send_attempt>().at(0).request.value());
    }

    void a_request_that_cannot_end_in_time_is_refused_as_not_run()
    {
        learn_service(milliseconds(100));
        it_.take<answer_caller>();
        it_.ask(milliseconds(20));
        auto const answer = it_.take<answer_caller>().at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("too_late"), text_of(answer.what));
        CPPUNIT_ASSERT(std::get<refused>(answer.what).run == verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<send_attempt>().size());
    }

    void a_request_behind_a_long_queue_is_refused_at_once()
    {
        learn_service(milliseconds(100));
        for (int n = 0; n != 10; ++n)
            it_.ask(seconds(10));
        it_.take<answer_caller>();
        it_.ask(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("too_late"),
                             text_of(it_.take<answer_caller>().at(0).what));
    }

    void a_waiting_request_is_refused_once_it_is_too_late()
    {
        learn_service(milliseconds(100));
        it_.ask(seconds(10));
        it_.ask(milliseconds(400));
        it_.take<answer_caller>();
        it_.pass(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.take<answer_caller>().size());
        it_.pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("too_late"),
                             text_of(it_.take<answer_caller>().at(0).what));
    }

    void a_route_without_targets_is_refused()
    {
        it_.tell(request_arrived{.id = request_id(77),
                                 .route = route_id("other"),
                                 .content = std::make_shared<call const>(),
                                 .deadline = it_.now() + seconds(1)});
        CPPUNIT_ASSERT_EQUAL(std::string("no_known_target"),
                             text_of(it_.take<answer_caller>().at(0).what));
    }

    void a_customer_cannot_fill_the_queue_for_others()
    {
        for (int n = 0; n != 600; ++n)
            it_.ask(seconds(10), "large");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{87}, it_.counter("refused.queue_full"));
        it_.ask(seconds(10), "small");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{87}, it_.counter("refused.queue_full"));
    }

private:
    void finish_running()
    {
        for (auto const& it : it_.take<send_attempt>())
            it_.reply_to(it.id);
    }

    /// Lets some requests run for `took` each.
    void learn_service(span took)
    {
        for (int n = 0; n != 3; ++n)
        {
            it_.ask();
            it_.pass(took);
            finish_running();
        }
    }

    rig it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_stage_test);

} // namespace

} // namespace mulberryrudder::entry
