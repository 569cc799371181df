#include "plugins/entry_io/caller_http/answer_codec.hpp"

#include <mulberryrudder/core/header_names.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;

entry::refusal_kind const sample_refusal({.name = "sample",
                                          .counter_name = "refused.sample",
                                          .status = 429,
                                          .meaning = "A refusal for the test."});

class request_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_codec_test);
    CPPUNIT_TEST(the_first_segment_is_the_route_and_the_rest_the_path);
    CPPUNIT_TEST(the_key_becomes_a_digest_and_is_not_forwarded);
    CPPUNIT_TEST(the_systems_own_fields_cannot_be_forged);
    CPPUNIT_TEST(two_keys_are_refused);
    CPPUNIT_TEST(a_deadline_is_cut_to_the_limit);
    CPPUNIT_TEST(a_deadline_that_is_no_number_is_refused);
    CPPUNIT_TEST(an_announcement_names_what_is_wrong);
    CPPUNIT_TEST(a_refusal_tells_reason_and_verdict);
    CPPUNIT_TEST(a_retry_time_is_rounded_up_to_seconds);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_first_segment_is_the_route_and_the_rest_the_path()
    {
        auto const it = forwarded(request(http::verb::get, "/timing/towers/7?x=1"));
        CPPUNIT_ASSERT_EQUAL(std::string("timing"), it.route.value());
        CPPUNIT_ASSERT_EQUAL(std::string("/towers/7?x=1"), it.content->path);
    }

    void the_key_becomes_a_digest_and_is_not_forwarded()
    {
        auto asked = request(http::verb::get, "/timing/");
        asked.set(http::field::authorization, "Bearer secret");
        asked.set(http::field::accept, "text/plain");
        auto const it = forwarded(std::move(asked));
        CPPUNIT_ASSERT(it.key.has_value());
        CPPUNIT_ASSERT_EQUAL(to_hex(sha256("secret")), to_hex(*it.key));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.content->fields.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Accept"), it.content->fields.front().name);
    }

    void the_systems_own_fields_cannot_be_forged()
    {
        auto asked = request(http::verb::get, "/timing/");
        asked.set("mulberry-CUSTOMER", "someone else");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, forwarded(std::move(asked)).content->fields.size());
    }

    void two_keys_are_refused()
    {
        auto asked = request(http::verb::get, "/timing/");
        asked.insert(http::field::authorization, "Bearer one");
        asked.insert(http::field::authorization, "Bearer two");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{400}, refused_with(std::move(asked)));
    }

    void a_deadline_is_cut_to_the_limit()
    {
        auto asked = request(http::verb::get, "/timing/");
        asked.set(header_names::deadline, "999999999");
        auto const expected = with_.first_byte + config_.most_deadline;
        CPPUNIT_ASSERT(expected == forwarded(std::move(asked)).deadline);
    }

    void a_deadline_that_is_no_number_is_refused()
    {
        for (auto const* const text : {"soon", "-5", "0", "10x", ""})
        {
            auto asked = request(http::verb::get, "/timing/");
            asked.set(header_names::deadline, text);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{400}, refused_with(std::move(asked)));
        }
    }

    void an_announcement_names_what_is_wrong()
    {
        auto asked = request(http::verb::post, "/v1/announce");
        asked.body() = R"({"target": "t", "address": "127.0.0.1:1", "domain": "d",
                           "version": "v", "routes": ["r"], "slots": 0})";
        auto const it = decode(std::move(asked), with_);
        CPPUNIT_ASSERT(std::holds_alternative<bad_request>(it));
        CPPUNIT_ASSERT_EQUAL(
            std::string("announcement#/slots: expected a whole number, 1 to 10000"),
            std::get<bad_request>(it).expected);
    }

    void a_refusal_tells_reason_and_verdict()
    {
        entry::refused const no{.why = &sample_refusal, .run = verdict::may_have_run};
        auto const it = encode(request_id(7), no);
        CPPUNIT_ASSERT_EQUAL(429U, it.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), std::string(it[header_names::verdict]));
        CPPUNIT_ASSERT(it.body().find(R"("reason":"sample")") != std::string::npos);
    }

    void a_retry_time_is_rounded_up_to_seconds()
    {
        entry::refused const no{.why = &sample_refusal, .retry_after = milliseconds(1200)};
        CPPUNIT_ASSERT_EQUAL(std::string("2"),
                             std::string(encode(request_id(7), no)[http::field::retry_after]));
    }

private:
    static http_request request(http::verb verb, std::string const& target)
    {
        return {verb, target, 11};
    }

    entry::request_arrived forwarded(http_request&& from)
    {
        auto it = decode(std::move(from), with_);
        CPPUNIT_ASSERT(std::holds_alternative<entry::request_arrived>(it));
        return std::get<entry::request_arrived>(std::move(it));
    }

    std::uint16_t refused_with(http_request&& from)
    {
        auto const it = decode(std::move(from), with_);
        return std::holds_alternative<bad_request>(it) ? std::get<bad_request>(it).status
                                                       : std::uint16_t{0};
    }

    caller_settings config_;
    decoding with_{.config = config_,
                   .id = request_id(1),
                   .first_byte = instant(seconds(5)),
                   .connection = connection_id(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_codec_test);

} // namespace

} // namespace mulberryrudder::caller_http
