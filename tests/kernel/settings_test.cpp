#include <mulberryrudder/kernel/settings.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::kernel
{

namespace
{

struct sample_settings
{
    milliseconds timeout{250};
    std::int64_t count = 3;
    endpoint listen;
};

std::optional<std::string> check_sample(sample_settings const& it)
{
    if (it.count == 7)
        return "\"count\" to differ from 7";
    return std::nullopt;
}

section<sample_settings> const sample_section{
    "sample",
    {
        field("timeout", &sample_settings::timeout, {1, 1000}, "Milliseconds until it gives up."),
        field("count", &sample_settings::count, {0, 10}, "How many."),
        field("listen", &sample_settings::listen, unbounded, "Where it listens."),
    },
    check_sample};

/// Returns all failures of a text, one a line, or "accepted".
std::string verdict_on(std::string const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(parse_settings(text, "f.json"));
            return std::string("accepted");
        },
        [](failures const& failed)
        {
            std::string out;
            for (auto const& it : failed)
                out += it.place + ": expected " + it.expected + "\n";
            return out;
        },
        [] { return std::string("another error"); });
}

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(comments_and_trailing_commas_are_allowed);
    CPPUNIT_TEST(absent_members_keep_their_defaults);
    CPPUNIT_TEST(an_unknown_key_is_refused_with_its_place);
    CPPUNIT_TEST(an_unknown_section_is_refused);
    CPPUNIT_TEST(a_value_out_of_range_is_refused_with_the_range);
    CPPUNIT_TEST(a_wrong_type_is_refused);
    CPPUNIT_TEST(a_contradiction_is_refused);
    CPPUNIT_TEST(a_syntax_error_names_line_and_column);
    CPPUNIT_TEST(all_failures_are_reported_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void comments_and_trailing_commas_are_allowed()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                             verdict_on("// why\n{\"sample\": {\"count\": 4, /* so */},}"));
    }

    void absent_members_keep_their_defaults()
    {
        auto const it = settings::defaults();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{250}, it.get(sample_section).timeout.count());
    }

    void an_unknown_key_is_refused_with_its_place()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("f.json#/sample/tiemout: expected no such key: it is unknown here\n"),
            verdict_on(R"({"sample": {"tiemout": 5}})"));
    }

    void an_unknown_section_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("f.json#/other: expected no such section: this program does not know "
                        "it\n"),
            verdict_on(R"({"other": {}})"));
    }

    void a_value_out_of_range_is_refused_with_the_range()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("f.json#/sample/count: expected a whole number, 0 to 10\n"),
            verdict_on(R"({"sample": {"count": 11}})"));
    }

    void a_wrong_type_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("f.json#/sample/listen: expected an IP number and a "
                                         "port, such as \"127.0.0.1:7000\"\n"),
                             verdict_on(R"({"sample": {"listen": "localhost:1"}})"));
    }

    void a_contradiction_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("f.json#/sample: expected \"count\" to differ from 7\n"),
                             verdict_on(R"({"sample": {"count": 7}})"));
    }

    void a_syntax_error_names_line_and_column()
    {
        auto const text = verdict_on("{\n  \"sample\": nonsense\n}");
        CPPUNIT_ASSERT_EQUAL(std::string("f.json:2:"), text.substr(0, 9));
    }

    void all_failures_are_reported_at_once()
    {
        auto const text = verdict_on(R"({"sample": {"count": -1, "timeout": "long"}})");
        CPPUNIT_ASSERT(text.find("/sample/count") != std::string::npos);
        CPPUNIT_ASSERT(text.find("/sample/timeout") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace

} // namespace mulberryrudder::kernel
