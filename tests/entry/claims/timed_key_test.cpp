#include "plugins/entry/claims/timed_key.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class timed_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(timed_key_test);
    CPPUNIT_TEST(the_creation_time_of_the_rfc_9562_example_is_read);
    CPPUNIT_TEST(a_uuid_of_another_version_is_refused);
    CPPUNIT_TEST(text_that_is_not_a_uuid_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_creation_time_of_the_rfc_9562_example_is_read()
    {
        auto const time = time_of_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
        CPPUNIT_ASSERT(time.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'645'557'742'000}, std::int64_t{time->count()});
    }

    void a_uuid_of_another_version_is_refused()
    {
        CPPUNIT_ASSERT(!time_of_key("919108f7-52d1-4320-9bac-f847db4148a8"));
    }

    void text_that_is_not_a_uuid_is_refused()
    {
        CPPUNIT_ASSERT(!time_of_key(""));
        CPPUNIT_ASSERT(!time_of_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398"));
        CPPUNIT_ASSERT(!time_of_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398Z"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(timed_key_test);

} // namespace

} // namespace mulberryrudder::entry
