#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;

class request_times_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_times_test);
    CPPUNIT_TEST(the_time_of_a_request_counts_from_its_first_byte);
    CPPUNIT_TEST(a_request_that_waited_for_its_whole_time_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { bench_.add_target("t1", "m-a"); }

    // Guards against SHORT: the route's time began when a request was parsed, which other requests
    // of its connection can hold up.
    void the_time_of_a_request_counts_from_its_first_byte()
    {
        auto const id = send_waited(milliseconds(1000));
        bench_.advance(milliseconds(199));
        CPPUNIT_ASSERT_EQUAL(std::string(), bench_.outcome_of(id));
        bench_.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"), bench_.outcome_of(id));
    }

    // Guards against requests that are sent to a target although their time is over.
    void a_request_that_waited_for_its_whole_time_is_refused_at_once()
    {
        auto const id = send_waited(milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"), bench_.outcome_of(id));
        CPPUNIT_ASSERT(bench_.refusal(id).run == verdict::not_run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_.attempts_of(id));
    }

private:
    /// Sends a request whose first byte came `waited` before; its route allows it 1200 ms.
    request_id send_waited(milliseconds waited)
    {
        return bench_.send_request("/read/x", {}, {}, {.first_byte = bench_.now - waited});
    }

    plan_bench bench_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_times_test);

} // namespace

} // namespace mulberryrudder::entry
