#include "known_failures.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace mulberryrudder::testing
{

namespace
{

class known_failures_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(known_failures_test);
    CPPUNIT_TEST(only_listed_tests_of_the_program_are_found);
    CPPUNIT_TEST(a_part_of_a_name_is_not_found);
    CPPUNIT_TEST(a_listed_test_that_passes_is_told);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_listed_tests_of_the_program_are_found()
    {
        CPPUNIT_ASSERT(list_.find("a::(anonymous namespace)::drain_test::late") != nullptr);
        CPPUNIT_ASSERT(list_.find("a::drain_test::early") == nullptr);
        CPPUNIT_ASSERT(list_.find("a::other_test::late") == nullptr);
    }

    void a_part_of_a_name_is_not_found()
    {
        CPPUNIT_ASSERT(list_.find("a::old_drain_test::late") == nullptr);
        CPPUNIT_ASSERT(list_.find("a::drain_test::late_again") == nullptr);
    }

    void a_listed_test_that_passes_is_told()
    {
        CPPUNIT_ASSERT(list_.missing_from({"a::drain_test::late"}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list_.missing_from({}).size());
    }

private:
    std::istringstream text_{"A line for readers.\n"
                             "drain_tests drain_test::late | ctest -R drain | seen | issue 1\n"
                             "other_tests other_test::late | ctest -R other | seen | issue 1\n"};
    known_failures list_{text_, "drain_tests"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(known_failures_test);

} // namespace

} // namespace mulberryrudder::testing
