#include "plugins/entry_io/caller_http/arrival_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::caller_http
{

namespace
{

instant at(int ms)
{
    return instant(milliseconds(ms));
}

class arrival_times_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(arrival_times_test);
    CPPUNIT_TEST(a_byte_is_dated_by_the_piece_it_came_in);
    CPPUNIT_TEST(a_note_without_new_bytes_changes_nothing);
    CPPUNIT_TEST(bytes_that_are_not_forgotten_keep_their_times);
    CPPUNIT_TEST(a_byte_of_very_many_pieces_is_never_dated_before_it_was_read);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_byte_is_dated_by_the_piece_it_came_in()
    {
        times_.note(byte_count(10), at(1));
        times_.note(byte_count(25), at(7));
        CPPUNIT_ASSERT(at(1) == times_.of(byte_count(0)));
        CPPUNIT_ASSERT(at(1) == times_.of(byte_count(9)));
        CPPUNIT_ASSERT(at(7) == times_.of(byte_count(10)));
        CPPUNIT_ASSERT(at(7) == times_.of(byte_count(24)));
    }

    void a_note_without_new_bytes_changes_nothing()
    {
        times_.note(byte_count(10), at(1));
        times_.note(byte_count(10), at(5));
        CPPUNIT_ASSERT(at(1) == times_.of(byte_count(9)));
    }

    void bytes_that_are_not_forgotten_keep_their_times()
    {
        times_.note(byte_count(10), at(1));
        times_.note(byte_count(20), at(2));
        times_.forget_before(byte_count(15));
        CPPUNIT_ASSERT(at(2) == times_.of(byte_count(15)));
    }

    /// Pattern: a caller sends its request byte by byte.
    void a_byte_of_very_many_pieces_is_never_dated_before_it_was_read()
    {
        constexpr int bytes = 10'000;
        for (int n = 0; n != bytes; ++n)
            times_.note(byte_count(n + 1), at(n));
        for (int n = 0; n != bytes; ++n)
            CPPUNIT_ASSERT(times_.of(byte_count(n)) >= at(n));
        CPPUNIT_ASSERT(at(0) == times_.of(byte_count(0)));
    }

private:
    arrival_times times_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(arrival_times_test);

} // namespace

} // namespace mulberryrudder::caller_http
