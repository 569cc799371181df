#include "plugins/control/roster/table_sync.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

class table_sync_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_sync_test);
    CPPUNIT_TEST(it_ends_with_the_tables_of_half_of_the_instances);
    CPPUNIT_TEST(the_own_table_counts_once_it_was_synchronized);
    CPPUNIT_TEST(without_tables_it_ends_at_the_deadline);
    CPPUNIT_TEST(it_does_not_end_before_all_instances_are_known);
    CPPUNIT_TEST(a_table_is_requested_until_it_comes);
    CPPUNIT_TEST(a_table_that_was_requested_before_a_pause_does_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { sync_.begin(deadline, sequence_id(7)); }

    // Of six instances, four hold an acknowledged leave. This one may be one of them and have
    // lost its table, so the other three are among any three of the five others.
    void it_ends_with_the_tables_of_half_of_the_instances()
    {
        sync_.record_table(instance_id(2), requested_);
        sync_.record_table(instance_id(3), requested_);
        CPPUNIT_ASSERT(!sync_.finish(6, start));
        sync_.record_table(instance_id(4), requested_);
        CPPUNIT_ASSERT(sync_.finish(6, start));
        CPPUNIT_ASSERT(!sync_.finish(6, start));
        CPPUNIT_ASSERT(sync_.is_synchronized());
    }

    void the_own_table_counts_once_it_was_synchronized()
    {
        CPPUNIT_ASSERT(!sync_.is_intact());
        CPPUNIT_ASSERT(sync_.finish(6, deadline));
        CPPUNIT_ASSERT(sync_.is_intact());
        sync_.begin(deadline + seconds(6), sequence_id(7));
        CPPUNIT_ASSERT(!sync_.is_synchronized());
        CPPUNIT_ASSERT(sync_.is_intact());
        sync_.record_table(instance_id(2), requested_);
        CPPUNIT_ASSERT(!sync_.finish(6, deadline));
        sync_.record_table(instance_id(3), requested_);
        CPPUNIT_ASSERT(sync_.finish(6, deadline));
    }

    void without_tables_it_ends_at_the_deadline()
    {
        CPPUNIT_ASSERT(!sync_.finish(6, deadline - milliseconds(1)));
        CPPUNIT_ASSERT(sync_.finish(6, deadline));
    }

    void it_does_not_end_before_all_instances_are_known()
    {
        for (std::uint32_t n = 2; n != 5; ++n)
            sync_.record_table(instance_id(n), requested_);
        CPPUNIT_ASSERT(!sync_.finish(std::nullopt, start));
        CPPUNIT_ASSERT(sync_.finish(6, start));
    }

    void a_table_is_requested_until_it_comes()
    {
        CPPUNIT_ASSERT(sync_.request_table_of(instance_id(2), start));
        CPPUNIT_ASSERT(!sync_.request_table_of(instance_id(2), start + milliseconds(200)));
        CPPUNIT_ASSERT(sync_.request_table_of(instance_id(2), start + milliseconds(500)));
        sync_.record_table(instance_id(2), requested_);
        CPPUNIT_ASSERT(!sync_.request_table_of(instance_id(2), start + seconds(1)));
        CPPUNIT_ASSERT(sync_.request_table_of(instance_id(3), start + seconds(1)));
        sync_.finish(2, start + seconds(1));
        CPPUNIT_ASSERT(!sync_.request_table_of(instance_id(4), start + seconds(1)));
    }

    // Guards against a violation of DRAIN: tables that had waited for a suspended instance ended
    // its synchronization, although leaves had been acknowledged since they were sent.
    void a_table_that_was_requested_before_a_pause_does_not_count()
    {
        for (std::uint32_t n = 2; n != 7; ++n)
            sync_.record_table(instance_id(n), sequence_id(7));
        CPPUNIT_ASSERT(!sync_.finish(6, start));
    }

private:
    /// A message that was sent after the synchronization began.
    sequence_id const requested_{8};

    static constexpr instant start{seconds(100)};
    static constexpr instant deadline{seconds(106)};

    table_sync sync_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_sync_test);

} // namespace

} // namespace mulberryrudder::control
