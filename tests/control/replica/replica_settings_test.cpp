#include <plugins/control/replica/replica_settings.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

/// Returns what was expected of a text's first failure, or "accepted".
std::string verdict_on(std::string const& text)
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
    CPPUNIT_TEST(the_defaults_fit_together);
    CPPUNIT_TEST(a_lease_of_few_heartbeats_is_refused);
    CPPUNIT_TEST(a_margin_of_half_the_lease_is_refused);
    CPPUNIT_TEST(an_election_before_the_lease_ends_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_defaults_fit_together()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), verdict_on(R"({"replica": {}})"));
    }
    void a_lease_of_few_heartbeats_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"lease\" to be "),
                             verdict_on(R"({"replica": {"heartbeat": 400}})"));
    }
    void a_margin_of_half_the_lease_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"lease_margin\""),
                             verdict_on(R"({"replica": {"lease_margin": 500}})"));
    }
    void an_election_before_the_lease_ends_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("\"election_time"),
                             verdict_on(R"({"replica": {"election_timeout": 900}})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_settings_test);

} // namespace

} // namespace mulberryrudder::control::testing
