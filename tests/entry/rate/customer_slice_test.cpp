#include <plugins/entry/rate/customer_slice.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

instant at(std::int64_t ms)
{
    return instant(milliseconds(ms));
}

messages::rate_slice slice(std::int64_t rate, std::int64_t burst, std::int64_t initial)
{
    return {.rate = millitokens_per_second(rate),
            .burst = millitokens(burst),
            .initial = millitokens(initial)};
}

class customer_slice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(customer_slice_test);
    CPPUNIT_TEST(a_new_slice_starts_with_its_initial_tokens_only);
    CPPUNIT_TEST(tokens_accrue_up_to_the_burst);
    CPPUNIT_TEST(a_lapse_loses_all_tokens);
    CPPUNIT_TEST(a_smaller_slice_gives_the_rest_back_once);
    CPPUNIT_TEST(a_late_larger_grant_takes_the_unsent_rest_back);
    CPPUNIT_TEST(given_back_room_stays_empty_until_a_grant_confirms);
    CPPUNIT_TEST(a_handed_back_slice_takes_no_other);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_new_slice_starts_with_its_initial_tokens_only()
    {
        customer_slice it(at(0));
        it.grant(at(60'000), slice(1000, 9000, 2000), sequence_id(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, it.tokens(at(60'000)).count());
    }

    void tokens_accrue_up_to_the_burst()
    {
        customer_slice it(at(0));
        it.grant(at(0), slice(1000, 3000, 0), sequence_id(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, it.tokens(at(1500)).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, it.tokens(at(9000)).count());
    }

    void a_lapse_loses_all_tokens()
    {
        customer_slice it(at(0));
        it.grant(at(0), slice(1000, 3000, 3000), sequence_id(1));
        it.lapse(at(100));
        it.grant(at(9000), slice(1000, 3000, 0), sequence_id(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it.tokens(at(9000)).count());
    }

    void a_smaller_slice_gives_the_rest_back_once()
    {
        customer_slice it(at(0));
        it.grant(at(0), slice(0, 8000, 8000), sequence_id(1));
        it.grant(at(0), slice(0, 3000, 0), sequence_id(2));
        auto const first = it.report(at(100), sequence_id(3), true);
        auto const second = it.report(at(200), sequence_id(4), true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6500}, first.returned.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8000}, (first.returned + it.tokens(at(200))).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, second.returned.count());
    }

    void a_late_larger_grant_takes_the_unsent_rest_back()
    {
        customer_slice it(at(0));
        it.grant(at(0), slice(0, 8000, 8000), sequence_id(1));
        it.grant(at(0), slice(0, 3000, 0), sequence_id(2));
        it.grant(at(0), slice(0, 8000, 0), sequence_id(3));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8000}, it.tokens(at(0)).count());
    }

    void given_back_room_stays_empty_until_a_grant_confirms()
    {
        customer_slice it(at(0));
        it.grant(at(0), slice(1000, 8000, 8000), sequence_id(1));
        auto const report = it.report(at(0), sequence_id(5), true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, report.returned.count());
        it.grant(at(60'000), slice(1000, 8000, 0), sequence_id(4));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, it.tokens(at(120'000)).count());
        it.grant(at(120'000), slice(1000, 8000, 0), sequence_id(5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8000}, it.tokens(at(180'000)).count());
    }

    void a_handed_back_slice_takes_no_other()
    {
        customer_slice it(at(0));
        it.grant(at(0), slice(1000, 8000, 6000), sequence_id(1));
        it.hand_back(at(0));
        auto const report = it.report(at(0), sequence_id(2), true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, report.returned.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, report.held_burst.count());
        it.grant(at(100), slice(1000, 8000, 6000), sequence_id(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, it.tokens(at(9000)).count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_slice_test);

} // namespace

} // namespace mulberryrudder::entry
