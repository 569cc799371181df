#include <mulberryrudder/core/repeat_filter.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder
{

namespace
{

class repeat_filter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeat_filter_test);
    CPPUNIT_TEST(one_occurrence_of_a_sender_in_each_interval_is_selected);
    CPPUNIT_TEST(the_remembered_senders_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_occurrence_of_a_sender_in_each_interval_is_selected()
    {
        repeat_filter filter(seconds(10), 8);
        CPPUNIT_ASSERT(filter.select("a", now_));
        CPPUNIT_ASSERT(filter.select("b", now_));
        CPPUNIT_ASSERT(!filter.select("a", now_ + seconds(9)));
        CPPUNIT_ASSERT(filter.select("a", now_ + seconds(10)));
        CPPUNIT_ASSERT(!filter.select("a", now_ + seconds(19)));
    }

    // Guards against a sender that fills the memory by a new name in each message.
    void the_remembered_senders_are_bounded()
    {
        repeat_filter filter(seconds(10), 2);
        CPPUNIT_ASSERT(filter.select("a", now_));
        CPPUNIT_ASSERT(filter.select("b", now_));
        CPPUNIT_ASSERT(!filter.select("c", now_));
        CPPUNIT_ASSERT(filter.select("c", now_ + seconds(10)));
    }

private:
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_filter_test);

} // namespace

} // namespace mulberryrudder
