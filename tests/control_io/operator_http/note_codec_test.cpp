#include <plugins/control_io/operator_http/note_codec.hpp>
#include <plugins/control_io/operator_http/utc_text.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::operator_http
{

namespace
{

/// Returns all failures of a text, one a line, or "accepted".
std::string verdict_on(std::string const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(decode_note(text));
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

control::release_note read(std::string const& text)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<control::release_note> { return decode_note(text); },
        [&]() -> control::release_note { throw std::runtime_error(verdict_on(text)); });
}

void expect_place(std::string const& place, std::string const& text)
{
    auto const got = verdict_on(text);
    CPPUNIT_ASSERT_EQUAL(place, got.substr(0, got.find(": expected")));
}

class note_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(note_codec_test);
    CPPUNIT_TEST(a_whole_note_is_read);
    CPPUNIT_TEST(comments_and_trailing_commas_are_allowed);
    CPPUNIT_TEST(rates_have_up_to_three_decimals);
    CPPUNIT_TEST(an_unknown_key_is_refused_with_its_place);
    CPPUNIT_TEST(a_missing_key_is_refused_with_its_place);
    CPPUNIT_TEST(a_name_that_stands_twice_is_refused);
    CPPUNIT_TEST(a_syntax_error_names_line_and_column);
    CPPUNIT_TEST(all_errors_are_listed_at_once);
    CPPUNIT_TEST(a_key_in_place_of_its_digest_is_refused);
    CPPUNIT_TEST(a_day_that_does_not_exist_is_refused);
    CPPUNIT_TEST(a_time_is_written_as_it_was_read);
    CPPUNIT_TEST(a_leap_day_is_read);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_whole_note_is_read()
    {
        auto const it = read(R"({
            "number": 12, "based_on": 7, "comment": "why",
            "add": {
                "customers": {"relay": {"rate": 100, "burst": 200, "home": "marmara",
                                        "keys": ["sha256:)" +
                             std::string(64, 'a') + R"("]}},
                "routes": {"timing": {"customers": ["relay"], "version": "v1"}},
                "moves": {"bibs": {"version": "v2", "cap": 300,
                                   "deadline": "2026-12-04T18:30:00Z"}},
                "links": {"marmara:ege": 500000000}},
            "change": {"routes": {"bibs": {"open": true}}},
            "withdraw": {"keys": ["0123456789ab"], "links": ["ege:marmara"]}})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, it.number.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, it.based_on->value());
        auto const& relay = it.add.customers.at(customer_id("relay"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100'000}, relay.rate.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relay.keys.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'796'409'000'000'000},
                             it.add.moves.at(route_id("bibs")).deadline.value());
        CPPUNIT_ASSERT(*it.change.routes.at(route_id("bibs")).open);
        CPPUNIT_ASSERT(!it.change.routes.at(route_id("bibs")).version.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("ege"), it.withdraw.links.begin()->from.value());
    }

    void comments_and_trailing_commas_are_allowed()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                             verdict_on("// why\n{\"number\": 1, /* so */}"));
    }

    void rates_have_up_to_three_decimals()
    {
        auto const text = [](std::string const& rate)
        { return R"({"number": 1, "change": {"customers": {"a": {"rate": )" + rate + "}}}}"; };
        auto const it = read(text("0.125"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{125},
                             it.change.customers.at(customer_id("a")).rate->count());
        for (auto const* const wrong :
             {"0.0001", "0", "-1", "1e300", "2000000000", "\"5\"", "null"})
            expect_place("/change/customers/a/rate", text(wrong));
    }

    void an_unknown_key_is_refused_with_its_place()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("/add/customer: expected no such key: it is unknown here\n"),
            verdict_on(R"({"number": 1, "add": {"customer": {}}})"));
    }

    void a_missing_key_is_refused_with_its_place()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/number: expected a value: this key is required\n"),
                             verdict_on("{}"));
    }

    void a_name_that_stands_twice_is_refused()
    {
        expect_place("/withdraw", R"({"number": 1, "withdraw": {"routes": []},
                                     "withdraw": {"routes": ["timing"]}})");
        expect_place("/add/customers/a/rate",
                     R"({"number": 1, "add": {"customers": {"a": {"rate": 1, "rate": 2,
                         "burst": 2, "home": "ege"}}}})");
    }

    void a_syntax_error_names_line_and_column()
    {
        auto const got = verdict_on("{\n  \"number\": nonsense\n}");
        CPPUNIT_ASSERT_EQUAL(std::string("note:2:"), got.substr(0, 7));
    }

    void all_errors_are_listed_at_once()
    {
        auto const got = verdict_on(R"({"number": -1, "comment": 5, "other": {}})");
        CPPUNIT_ASSERT(got.find("/number: ") != std::string::npos);
        CPPUNIT_ASSERT(got.find("/comment: ") != std::string::npos);
        CPPUNIT_ASSERT(got.find("/other: ") != std::string::npos);
    }

    void a_key_in_place_of_its_digest_is_refused()
    {
        auto const got =
            verdict_on(R"({"number": 1, "add": {"keys": {"a": ["the-planted-key"]}}})");
        CPPUNIT_ASSERT(got.starts_with("/add/keys/a/0: expected the SHA-256 digest"));
        CPPUNIT_ASSERT(got.find("planted") == std::string::npos);
    }

    void a_day_that_does_not_exist_is_refused()
    {
        control::utc_time out;
        for (auto const* const wrong :
             {"2026-02-29T00:00:00Z", "2026-13-01T00:00:00Z", "2026-01-01T24:00:00Z",
              "2026-01-01T00:00:60Z", "2026-01-01 00:00:00Z", "2026-01-01T00:00:00", ""})
            CPPUNIT_ASSERT_MESSAGE(wrong, !parse_utc(wrong, out));
    }

    void a_time_is_written_as_it_was_read()
    {
        control::utc_time out;
        CPPUNIT_ASSERT(parse_utc("2026-12-04T18:30:05Z", out));
        CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04T18:30:05Z"), to_text(out));
    }

    void a_leap_day_is_read()
    {
        control::utc_time out;
        CPPUNIT_ASSERT(parse_utc("2028-02-29T00:00:00Z", out));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'835'395'200'000'000}, out.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(note_codec_test);

} // namespace

} // namespace mulberryrudder::operator_http
