#include "plugins/entry/quota/admission_credits.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

constexpr instant now{seconds(1000)};
constexpr instant early = now + milliseconds(100);
constexpr instant late = now + milliseconds(200);

class admission_credits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_credits_test);
    CPPUNIT_TEST(each_credit_admits_one_request);
    CPPUNIT_TEST(a_credit_admits_nothing_from_its_deadline_on);
    CPPUNIT_TEST(the_credit_that_expires_first_is_used_first);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_credit_admits_one_request()
    {
        credits_.add(requests(2), early);
        CPPUNIT_ASSERT(credits_.take(now));
        CPPUNIT_ASSERT(credits_.take(now));
        CPPUNIT_ASSERT(!credits_.take(now));
        credits_.add(requests(0), late);
        CPPUNIT_ASSERT(!credits_.take(now));
    }

    // Guards against a permission that is used after its time: the process was suspended.
    void a_credit_admits_nothing_from_its_deadline_on()
    {
        credits_.add(requests(2), early);
        CPPUNIT_ASSERT(!credits_.take(early));
        CPPUNIT_ASSERT(credits_.left(now) == requests(0));
    }

    void the_credit_that_expires_first_is_used_first()
    {
        credits_.add(requests(1), early);
        credits_.add(requests(1), late);
        CPPUNIT_ASSERT(credits_.left(now) == requests(2));
        CPPUNIT_ASSERT(credits_.take(now));
        CPPUNIT_ASSERT(credits_.take(early));
        CPPUNIT_ASSERT(!credits_.take(early));
    }

private:
    admission_credits credits_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_credits_test);

} // namespace

} // namespace mulberryrudder::entry
