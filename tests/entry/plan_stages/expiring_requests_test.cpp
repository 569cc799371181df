#include <mulberryrudder/core/expiring_requests.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder
{

namespace
{

constexpr instant now{seconds(1000)};
constexpr instant early = now + milliseconds(100);
constexpr instant late = now + milliseconds(200);

class expiring_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(expiring_requests_test);
    CPPUNIT_TEST(each_request_is_taken_once);
    CPPUNIT_TEST(nothing_is_taken_from_a_deadline_on);
    CPPUNIT_TEST(requests_that_expire_first_are_taken_first);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_request_is_taken_once()
    {
        all_.add(requests(2), early);
        CPPUNIT_ASSERT(all_.take_up_to(requests(1), now) == requests(1));
        CPPUNIT_ASSERT(all_.take_up_to(requests(5), now) == requests(1));
        CPPUNIT_ASSERT(all_.take_up_to(requests(5), now) == requests(0));
        all_.add(requests(0), late);
        CPPUNIT_ASSERT(all_.left(now) == requests(0));
    }

    // Guards against a permission that is used after its time: the process was suspended.
    void nothing_is_taken_from_a_deadline_on()
    {
        all_.add(requests(2), early);
        CPPUNIT_ASSERT(all_.take_up_to(requests(1), early) == requests(0));
        CPPUNIT_ASSERT(all_.left(now) == requests(0));
    }

    void requests_that_expire_first_are_taken_first()
    {
        all_.add(requests(1), early);
        all_.add(requests(1), late);
        CPPUNIT_ASSERT(all_.left(now) == requests(2));
        CPPUNIT_ASSERT(all_.take_up_to(requests(1), now) == requests(1));
        CPPUNIT_ASSERT(all_.take_up_to(requests(1), early) == requests(1));
    }

private:
    expiring_requests all_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(expiring_requests_test);

} // namespace

} // namespace mulberryrudder
