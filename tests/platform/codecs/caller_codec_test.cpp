#include "plugins/entry_io/caller_http/answer_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;

entry::refusal_kind const sample_503({.name = "sample_503",
                                      .counter_name = "refused.sample_503",
                                      .status = 503,
                                      .meaning = "A refusal for the test."});
entry::refusal_kind const sample_504({.name = "sample_504",
                                      .counter_name = "refused.sample_504",
                                      .status = 504,
                                      .meaning = "A refusal for the test."});

class caller_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_codec_test);
    CPPUNIT_TEST(a_request_is_decoded_into_what_its_fields_say);
    CPPUNIT_TEST(the_key_and_the_systems_own_fields_are_not_forwarded);
    CPPUNIT_TEST(a_field_that_is_given_twice_is_refused);
    CPPUNIT_TEST(a_deadline_that_is_no_number_is_refused);
    CPPUNIT_TEST(readiness_is_asked_at_the_operators_address_only);
    CPPUNIT_TEST(a_status_never_says_not_run_of_what_may_have_run);
    CPPUNIT_TEST(what_did_not_run_is_refused_with_a_status_that_says_so);
    CPPUNIT_TEST(a_return_time_keeps_its_fraction);
    CPPUNIT_TEST(a_targets_answer_is_passed_on_unchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_request_is_decoded_into_what_its_fields_say()
    {
        auto const it = arrived(sample());
        CPPUNIT_ASSERT_EQUAL(std::string("ficu95.example"), it.host);
        CPPUNIT_ASSERT_EQUAL(std::string("17"), it.object.value());
        CPPUNIT_ASSERT_EQUAL(std::string("9c41d07be2a35f68"), it.caller_reference);
        CPPUNIT_ASSERT(it.key == sha256("b9wu3fexd9dnn2ctnfzs"));
        CPPUNIT_ASSERT(it.deadline == now_ + milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::string("/lohu930/2f?x=1"), it.content->path);
        CPPUNIT_ASSERT(it.content->method == call_method::get);
    }

    void the_key_and_the_systems_own_fields_are_not_forwarded()
    {
        auto asked = sample();
        asked.set("Tenant", "forged");
        asked.set("Expect-Instance", "forged");
        asked.set(http::field::connection, "keep-alive");
        asked.set("X-Other", "kept");
        auto const it = arrived(std::move(asked));
        for (auto const* const name :
             {"Credential", "Tenant", "Expect-Instance", "Connection", "Deadline-Ms"})
            CPPUNIT_ASSERT_MESSAGE(name, !forwarded(it, name));
        for (auto const* const name : {"Host", "Attempt-Id", "Affinity-Key", "X-Other"})
            CPPUNIT_ASSERT_MESSAGE(name, forwarded(it, name));
    }

    void a_field_that_is_given_twice_is_refused()
    {
        for (auto const* const name : {"Credential", "Attempt-Id", "Deadline-Ms"})
        {
            auto asked = sample();
            asked.insert(name, "1");
            CPPUNIT_ASSERT_MESSAGE(name, std::holds_alternative<bad_request>(read(asked)));
        }
    }

    void a_deadline_that_is_no_number_is_refused()
    {
        for (auto const* const text : {"soon", "1.5", "-1", "12ms"})
        {
            auto asked = sample();
            asked.set("Deadline-Ms", text);
            CPPUNIT_ASSERT_MESSAGE(text, std::holds_alternative<bad_request>(read(asked)));
        }
    }

    void readiness_is_asked_at_the_operators_address_only()
    {
        http_request asked(http::verb::get, "/api/readyz", 11);
        asked.set(http::field::host, "10.1.0.7");
        CPPUNIT_ASSERT(std::holds_alternative<readiness_asked>(read(asked, true)));
        CPPUNIT_ASSERT(std::holds_alternative<entry::request_arrived>(read(asked)));
        asked.target("/metrics");
        CPPUNIT_ASSERT(std::holds_alternative<counters_asked>(read(asked, true)));
        asked.target("/lohu930/2f");
        CPPUNIT_ASSERT(std::holds_alternative<bad_request>(read(asked, true)));
    }

    void a_status_never_says_not_run_of_what_may_have_run()
    {
        auto const out = refusal(sample_503, verdict::may_have_run);
        CPPUNIT_ASSERT_EQUAL(502U, out.result_int());
    }

    void what_did_not_run_is_refused_with_a_status_that_says_so()
    {
        CPPUNIT_ASSERT_EQUAL(503U, refusal(sample_504, verdict::not_run).result_int());
        CPPUNIT_ASSERT_EQUAL(504U, refusal(sample_504, verdict::may_have_run).result_int());
    }

    void a_return_time_keeps_its_fraction()
    {
        auto const out = encode(request_id(1), entry::refused{.why = &sample_503,
                                                              .run = verdict::not_run,
                                                              .retry_after = milliseconds(350)});
        CPPUNIT_ASSERT_EQUAL(std::string("0.350"), std::string(out[http::field::retry_after]));
    }

    void a_targets_answer_is_passed_on_unchanged()
    {
        reply const from{.status = 500,
                         .fields = {{"Server-Seal", "3e1b.07"}, {"Content-Type", "x/y"}},
                         .body = "whole"};
        auto const out =
            encode(request_id(1), entry::answered{std::make_shared<reply const>(from)});
        CPPUNIT_ASSERT_EQUAL(500U, out.result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("3e1b.07"), std::string(out["Server-Seal"]));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), out.body());
    }

private:
    static http_request sample()
    {
        http_request out(http::verb::get, "/lohu930/2f?x=1", 11);
        out.set(http::field::host, "ficu95.example");
        out.set("Attempt-Id", "9c41d07be2a35f68");
        out.set("Affinity-Key", "17");
        out.set("Deadline-Ms", "2000");
        out.set("Credential", "b9wu3fexd9dnn2ctnfzs");
        return out;
    }

    decoded read(http_request asked, bool for_operators = false) const
    {
        return decode(std::move(asked), {.config = config_,
                                         .id = request_id(1),
                                         .client = {},
                                         .first_byte = now_,
                                         .for_operators = for_operators});
    }

    entry::request_arrived arrived(http_request asked) const
    {
        return std::get<entry::request_arrived>(read(std::move(asked)));
    }

    static bool forwarded(entry::request_arrived const& it, std::string_view name)
    {
        auto const& all = it.content->fields;
        return std::any_of(all.begin(), all.end(),
                           [&](header_field const& each)
                           { return boost::beast::iequals(each.name, name); });
    }

    static http_response refusal(entry::refusal_kind const& why, verdict run)
    {
        return encode(request_id(1), entry::refused{.why = &why, .run = run});
    }

    caller_settings config_;
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_codec_test);

} // namespace

} // namespace mulberryrudder::caller_http
