#include "plugins/control/rollouts/outcome_totals.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

service_id const desk("desk");
version_id const v1("v1");
version_id const v2("v2");
version_id const v3("v3");

messages::entry_notice notice(instance_id entry, boot_id boot, std::uint64_t answered,
                              std::uint64_t failed)
{
    messages::entry_notice out;
    out.who.id = entry;
    out.boot = boot;
    out.outcomes = {
        {.service = desk, .rollout = v2, .version = v2, .answered = answered, .failed = failed}};
    return out;
}

class outcome_totals_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outcome_totals_test);
    CPPUNIT_TEST(a_repeated_or_old_notice_counts_once);
    CPPUNIT_TEST(all_entries_and_all_their_starts_count);
    CPPUNIT_TEST(outcomes_of_another_rollout_do_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against EXPOSURE: while a leader could not be reached, control instances sent it
    // the same outcomes again and again. Delivered after the cut, they were 51,463 answers of a
    // service with 24,248 requests, so that later failures carried little weight.
    void a_repeated_or_old_notice_counts_once()
    {
        auto const older = notice(instance_id(1001), boot_id(1), 10, 1);
        auto const newer = notice(instance_id(1001), boot_id(1), 30, 2);
        totals_.update(older, desk, v2);
        for (int n = 0; n != 3; ++n)
            totals_.update(newer, desk, v2);
        totals_.update(older, desk, v2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, totals_.of(v2).answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, totals_.of(v2).failed);
    }

    void all_entries_and_all_their_starts_count()
    {
        totals_.update(notice(instance_id(1001), boot_id(1), 10, 1), desk, v2);
        totals_.update(notice(instance_id(1001), boot_id(2), 5, 2), desk, v2);
        totals_.update(notice(instance_id(1002), boot_id(1), 20, 3), desk, v2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{35}, totals_.of(v2).answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, totals_.of(v2).failed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totals_.of(v1).answered);
    }

    void outcomes_of_another_rollout_do_not_count()
    {
        totals_.update(notice(instance_id(1001), boot_id(1), 10, 1), desk, v3);
        totals_.update(notice(instance_id(1001), boot_id(1), 10, 1), service_id("other"), v2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totals_.of(v2).answered);
    }

private:
    outcome_totals totals_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_totals_test);

} // namespace

} // namespace mulberryrudder::control
