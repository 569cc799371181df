#include <plugins/control/replica/replica_settings.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

/// Parses settings; returns the start of what the first failure expected, or "accepted".
std::string parse_outcome(std::string const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(kernel::parse_settings(text, "f.json"));
            return std::string("accepted");
        },
        [](failures const& failed) { return failed.front().expected.substr(0, 14); },
        [] { return std::string("another error"); });
}

class replica_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_settings_test);
    CPPUNIT_TEST(the_defaults_are_valid);
    CPPUNIT_TEST(a_lease_shorter_than_three_heartbeats_is_rejected);
    CPPUNIT_TEST(a_margin_of_half_the_lease_is_rejected);
    CPPUNIT_TEST(an_election_timeout_shorter_than_the_lease_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_defaults_are_valid()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), parse_outcome(R"({"replica": {}})"));
    }
    void a_lease_shorter_than_three_heartbeats_is_rejected()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"lease\" to be "),
                             parse_outcome(R"({"replica": {"heartbeat": 400}})"));
    }
    void a_margin_of_half_the_lease_is_rejected()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"lease_margin\""),
                             parse_outcome(R"({"replica": {"lease_margin": 500}})"));
    }
    void an_election_timeout_shorter_than_the_lease_is_rejected()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"election_time"),
                             parse_outcome(R"({"replica": {"election_timeout": 900}})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_settings_test);

} // namespace

} // namespace mulberryrudder::control::testing
