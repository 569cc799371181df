#include "plugins/entry_io/target_http/exchange_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::target_http
{

namespace
{

namespace http = boost::beast::http;

class target_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_exchange_test);
    CPPUNIT_TEST(a_request_names_target_customer_and_time_left);
    CPPUNIT_TEST(an_open_routes_request_names_no_customer);
    CPPUNIT_TEST(a_reply_with_another_id_belongs_to_another_request);
    CPPUNIT_TEST(only_the_targets_word_says_that_nothing_ran);
    CPPUNIT_TEST(load_counts_running_and_waiting_requests);
    CPPUNIT_TEST(a_load_that_cannot_be_read_is_none);
    CPPUNIT_TEST(an_absurd_load_is_none);
    CPPUNIT_TEST(a_reply_keeps_its_seal_and_loses_fields_of_the_connection);
    CPPUNIT_TEST(a_leaving_target_says_so_in_any_answer);
    CPPUNIT_TEST(another_target_at_the_address_does_not_speak_for_the_expected_one);
    CPPUNIT_TEST(a_target_that_turns_a_request_away_may_ask_for_a_pause);
    CPPUNIT_TEST(a_pause_that_cannot_be_read_is_none);
    CPPUNIT_TEST(a_pause_out_of_bounds_is_named);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_request_names_target_customer_and_time_left()
    {
        auto const out = encode(sample(), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("/pufi791/2f"), std::string(out.target()));
        CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), std::string(out["Expect-Instance"]));
        CPPUNIT_ASSERT_EQUAL(std::string("kaje80"), std::string(out["Tenant"]));
        CPPUNIT_ASSERT_EQUAL(std::string("750"), std::string(out["Deadline-Ms"]));
        CPPUNIT_ASSERT_EQUAL(std::string("9c41d07be2a35f68"), std::string(out["Attempt-Id"]));
        CPPUNIT_ASSERT_EQUAL(std::string("ficu95.example"), std::string(out["Host"]));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), out.body());
        CPPUNIT_ASSERT_EQUAL(std::string("4"), std::string(out[http::field::content_length]));
    }

    void an_open_routes_request_names_no_customer()
    {
        auto what = sample();
        what.customer = customer_id();
        CPPUNIT_ASSERT(encode(what, now_).find("Tenant") == http::fields().end() ||
                       encode(what, now_)["Tenant"].empty());
    }

    void a_reply_with_another_id_belongs_to_another_request()
    {
        auto reply = answer(200);
        CPPUNIT_ASSERT(is_reply_to(reply, sample()));
        reply.set("Attempt-Id", "9c41d07be2a35f68");
        CPPUNIT_ASSERT(is_reply_to(reply, sample()));
        reply.set("Attempt-Id", "another");
        CPPUNIT_ASSERT(!is_reply_to(reply, sample()));
    }

    void only_the_targets_word_says_that_nothing_ran()
    {
        CPPUNIT_ASSERT(!turned_away(answer(503)));
        CPPUNIT_ASSERT(!turned_away(answer(500)));
        auto shed = answer(503);
        shed.set("Not-Executed", "1");
        CPPUNIT_ASSERT(turned_away(shed) == entry::attempt_failure::shed);
        CPPUNIT_ASSERT(turned_away(answer(421)) == entry::attempt_failure::misdirected);
    }

    void load_counts_running_and_waiting_requests()
    {
        auto reply = answer(200);
        reply.set("Server-Load", "3,2,8");
        auto const load = load_of(reply);
        CPPUNIT_ASSERT(load.has_value());
        CPPUNIT_ASSERT(load->busy == slots(5));
        CPPUNIT_ASSERT(load->total == slots(8));
    }

    void a_load_that_cannot_be_read_is_none()
    {
        for (auto const* const text : {"", "3", "3,2", "3,2,x", "-1,0,8", "3;2;8"})
        {
            auto reply = answer(200);
            reply.set("Server-Load", text);
            CPPUNIT_ASSERT_MESSAGE(text, !load_of(reply));
        }
    }

    // Guards against an overflow: counts near 2^63 were added as they were.
    void an_absurd_load_is_none()
    {
        for (auto const* const text :
             {"9223372036854775807,1,8", "1,9223372036854775807,8", "0,0,9223372036854775807",
              "1000001,0,8", "0,1000001,8", "0,0,1000001", "9223372036854775808,0,8", "1.5,0,8",
              "1e3,0,8", "nan,0,8"})
        {
            auto reply = answer(200);
            reply.set("Server-Load", text);
            CPPUNIT_ASSERT_MESSAGE(text, !load_of(reply));
            failures failed;
            read_load(reply, failed);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
            CPPUNIT_ASSERT_EQUAL(std::string("Server-Load"), failed.front().place);
        }
        auto reply = answer(200);
        reply.set("Server-Load", "1000000,1000000,1000000");
        CPPUNIT_ASSERT(load_of(reply)->busy == slots(2'000'000));
        failures failed;
        read_load(answer(200), failed);
        CPPUNIT_ASSERT_MESSAGE("no load is no fault", failed.empty());
    }

    void a_reply_keeps_its_seal_and_loses_fields_of_the_connection()
    {
        auto from = answer(200);
        from.set("Server-Seal", "3e1b.07");
        from.set("Server-Load", "1,0,8");
        from.set(http::field::connection, "close");
        from.body() = "whole";
        auto const it = decode(std::move(from));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it->fields.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Server-Seal"), it->fields.front().name);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), it->body);
    }

    void a_leaving_target_says_so_in_any_answer()
    {
        for (unsigned const status : {200U, 404U, 500U, 503U})
        {
            auto reply = answer(status);
            CPPUNIT_ASSERT(!wishes_of(reply).leaving);
            reply.set("Server-Leaving", "1");
            CPPUNIT_ASSERT(wishes_of(reply).leaving);
            reply.set("Server-Leaving", "0");
            CPPUNIT_ASSERT(!wishes_of(reply).leaving);
        }
    }

    // Guards against the loss of a target whose address another one has taken over.
    void another_target_at_the_address_does_not_speak_for_the_expected_one()
    {
        auto reply = answer(421);
        reply.set("Server-Leaving", "1");
        CPPUNIT_ASSERT(!wishes_of(reply).leaving);
    }

    void a_target_that_turns_a_request_away_may_ask_for_a_pause()
    {
        auto reply = answer(503);
        reply.set(http::field::retry_after, "2.5");
        CPPUNIT_ASSERT(wishes_of(reply).pause == milliseconds(2500));
        reply.set(http::field::retry_after, "99999999999");
        CPPUNIT_ASSERT(wishes_of(reply).pause > seconds(100'000));
        auto served = answer(200);
        served.set(http::field::retry_after, "2.5");
        CPPUNIT_ASSERT(!wishes_of(served).pause);
    }

    void a_pause_that_cannot_be_read_is_none()
    {
        CPPUNIT_ASSERT(!wishes_of(answer(503)).pause);
        for (auto const* const text : {"", "0", "0.0", "-1", "x", "1x", "1 2", "nan", "inf", "-inf",
                                       "1e999", "Fri, 04 Dec 2026 10:00:00 GMT"})
        {
            auto reply = answer(503);
            reply.set(http::field::retry_after, text);
            CPPUNIT_ASSERT_MESSAGE(text, !wishes_of(reply).pause);
        }
    }

    // Guards against a pause that is dropped or shortened without a word.
    void a_pause_out_of_bounds_is_named()
    {
        for (auto const* const text :
             {"-1", "-0.5", "1000001", "1e12", "1e999", "nan", "inf", "-inf"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{1}, failures_of_pause(text));
        for (auto const* const text :
             {"0", "0.5", "1000000", "Fri, 04 Dec 2026 10:00:00 GMT", "", "soon"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, failures_of_pause(text));
    }

private:
    static std::size_t failures_of_pause(char const* text)
    {
        auto reply = answer(503);
        reply.set(http::field::retry_after, text);
        failures failed;
        read_wishes(reply, failed);
        return failed.size();
    }

    entry::send_attempt sample() const
    {
        call const content{
            .method = call_method::post,
            .path = "/pufi791/2f",
            .fields = {{"Host", "ficu95.example"}, {"Attempt-Id", "9c41d07be2a35f68"}},
            .body = "body"};
        return {.id = attempt_id(1),
                .request = request_id(2),
                .target = target_id("i-7f3a91c2"),
                .where = {"10.128.0.9", 8080},
                .most_connections = connections(1),
                .customer = customer_id("kaje80"),
                .route = route_id("r"),
                .content = std::make_shared<call const>(content),
                .deadline = now_ + milliseconds(750)};
    }

    static std::optional<entry::load_report> load_of(http_reply const& it)
    {
        failures failed;
        return read_load(it, failed);
    }

    static entry::target_wishes wishes_of(http_reply const& it)
    {
        failures failed;
        return read_wishes(it, failed);
    }

    static http_reply answer(unsigned status)
    {
        return http_reply(static_cast<http::status>(status), 11);
    }

    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_exchange_test);

} // namespace

} // namespace mulberryrudder::target_http
