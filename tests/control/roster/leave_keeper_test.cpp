#include <plugins/control/roster/leave_keeper.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

class leave_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leave_keeper_test);
    CPPUNIT_TEST(without_a_disk_leaves_are_kept_at_once);
    CPPUNIT_TEST(a_message_counts_once_its_leaves_are_written);
    CPPUNIT_TEST(one_write_covers_all_that_came_during_the_one_before);
    CPPUNIT_TEST(messages_count_although_leaves_keep_coming);
    CPPUNIT_TEST(a_write_during_which_the_disk_failed_does_not_count);
    CPPUNIT_TEST(after_a_failure_the_whole_record_is_written_again);
    CPPUNIT_TEST(a_message_of_an_earlier_start_does_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void without_a_disk_leaves_are_kept_at_once()
    {
        keeper_.mark_changed();
        CPPUNIT_ASSERT(!keeper_.begin_write());
        CPPUNIT_ASSERT(keeper_.is_kept(keeper_.current()));
    }

    void a_message_counts_once_its_leaves_are_written()
    {
        keeper_.enable();
        auto const version = keeper_.begin_write();
        receive(1);
        CPPUNIT_ASSERT(sequence_id() == kept());
        keeper_.written(*version);
        CPPUNIT_ASSERT(sequence_id(1) == kept());
        receive(2);
        CPPUNIT_ASSERT(sequence_id(2) == kept());
    }

    void one_write_covers_all_that_came_during_the_one_before()
    {
        keeper_.enable();
        auto const first = keeper_.begin_write();
        for (std::uint64_t number = 1; number != 4; ++number)
        {
            keeper_.mark_changed();
            receive(number);
            CPPUNIT_ASSERT(!keeper_.begin_write());
        }
        keeper_.written(*first);
        CPPUNIT_ASSERT(sequence_id() == kept());
        auto const second = keeper_.begin_write();
        CPPUNIT_ASSERT(second == keeper_.current());
        keeper_.written(*second);
        CPPUNIT_ASSERT(sequence_id(3) == kept());
        CPPUNIT_ASSERT(!keeper_.begin_write());
    }

    // Guards against leaves in series, each of which puts off the acknowledgement of all before.
    void messages_count_although_leaves_keep_coming()
    {
        keeper_.enable();
        for (std::uint64_t number = 1; number != 50; ++number)
        {
            keeper_.mark_changed();
            receive(number);
            auto const version = keeper_.begin_write();
            CPPUNIT_ASSERT(version.has_value());
            keeper_.mark_changed();
            receive(100 + number);
            keeper_.written(*version);
            CPPUNIT_ASSERT(kept() >= sequence_id(number));
        }
    }

    void a_write_during_which_the_disk_failed_does_not_count()
    {
        keeper_.enable();
        auto const version = keeper_.begin_write();
        receive(1);
        keeper_.disk_lost();
        keeper_.written(*version);
        CPPUNIT_ASSERT(sequence_id() == kept());
        CPPUNIT_ASSERT(!keeper_.begin_write());
    }

    void after_a_failure_the_whole_record_is_written_again()
    {
        keeper_.enable();
        keeper_.written(*keeper_.begin_write());
        receive(1);
        keeper_.disk_lost();
        receive(2);
        CPPUNIT_ASSERT(sequence_id(1) == kept());
        CPPUNIT_ASSERT(!keeper_.is_kept(keeper_.current()));
        keeper_.disk_reopened();
        keeper_.written(*keeper_.begin_write());
        CPPUNIT_ASSERT(sequence_id(2) == kept());
    }

    void a_message_of_an_earlier_start_does_not_count()
    {
        keeper_.enable();
        keeper_.written(*keeper_.begin_write());
        receive(7);
        keeper_.record_message(sender, boot_id(2), sequence_id(1));
        CPPUNIT_ASSERT(sequence_id() == kept());
        CPPUNIT_ASSERT(sequence_id(1) == keeper_.kept_of(sender, boot_id(2)));
    }

private:
    void receive(std::uint64_t number)
    {
        keeper_.record_message(sender, boot_id(1), sequence_id(number));
    }

    sequence_id kept() const { return keeper_.kept_of(sender, boot_id(1)); }

    static inline instance_id const sender{2};
    leave_keeper keeper_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leave_keeper_test);

} // namespace

} // namespace mulberryrudder::control
