#include <tests/control/support/replica.hpp>
#include <tests/control/support/sample_notes.hpp>

#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control/operator_moves.hpp>
#include <mulberryrudder/control/operator_notes.hpp>
#include <mulberryrudder/control/operator_orders.hpp>
#include <mulberryrudder/control/operator_state.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>

#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::operator_http
{

namespace
{

class request_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_codec_test);
    CPPUNIT_TEST(each_request_has_its_type);
    CPPUNIT_TEST(an_unknown_path_is_not_found);
    CPPUNIT_TEST(a_wrong_method_is_told);
    CPPUNIT_TEST(a_wrong_order_is_refused_with_its_place);
    CPPUNIT_TEST(the_answers_have_their_status);
    CPPUNIT_TEST(a_conflict_shows_what_won);
    CPPUNIT_TEST(long_names_are_shortened_in_places);
    CPPUNIT_TEST(the_configuration_shows_digests_of_keys);
    CPPUNIT_TEST(the_counters_have_the_form_of_prometheus);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_request_has_its_type()
    {
        CPPUNIT_ASSERT(type_of("POST", "/v1/notes", R"({"number": 1})") ==
                       typeid(control::note_submission));
        CPPUNIT_ASSERT(type_of("POST", "/v1/notes/check", R"({"number": 1})") ==
                       typeid(control::note_check));
        CPPUNIT_ASSERT(type_of("GET", "/v1/notes/12") == typeid(control::note_query));
        CPPUNIT_ASSERT(type_of("GET", "/v1/status?x=1") == typeid(control::status_query));
        CPPUNIT_ASSERT(type_of("GET", "/v1/config") == typeid(control::config_query));
        CPPUNIT_ASSERT(type_of("GET", "/v1/moves/timing") == typeid(control::move_query));
        CPPUNIT_ASSERT(type_of("POST", "/v1/drain", R"({"instance": 5, "draining": true})") ==
                       typeid(control::set_draining));
        CPPUNIT_ASSERT(type_of("POST", "/v1/quarantine",
                               R"({"fingerprint": ")" + std::string(64, 'b') +
                                   R"(", "quarantined": false})") ==
                       typeid(control::set_quarantine));
    }

    void an_unknown_path_is_not_found()
    {
        for (auto const* const path : {"/", "/v1/nothing", "/v1/notes/", "/v1/notes/1/2", ""})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 404U, status_of("GET", path));
    }

    void a_wrong_method_is_told() { CPPUNIT_ASSERT_EQUAL(405U, status_of("PUT", "/v1/notes")); }

    void a_wrong_order_is_refused_with_its_place()
    {
        auto const got = answer_to("POST", "/v1/drain", R"({"instance": 0, "draining": true})");
        CPPUNIT_ASSERT_EQUAL(422U, got.status);
        CPPUNIT_ASSERT(text(got).find("\"/instance\"") != std::string::npos);
    }

    void the_answers_have_their_status()
    {
        using control::change_outcome;
        CPPUNIT_ASSERT_EQUAL(200U, status_for(change_outcome::accepted));
        CPPUNIT_ASSERT_EQUAL(422U, status_for(change_outcome::refused));
        CPPUNIT_ASSERT_EQUAL(409U, status_for(change_outcome::conflict));
        CPPUNIT_ASSERT_EQUAL(503U,
                             encode_answer(any_message::of(control::outcome_unknown{})).status);
        CPPUNIT_ASSERT_EQUAL(421U, encode_answer(any_message::of(control::not_leading{})).status);
        CPPUNIT_ASSERT_EQUAL(501U,
                             encode_answer(any_message::of(control::unknown_request{})).status);
    }

    void a_conflict_shows_what_won()
    {
        control::note_answer it{.number = note_number(4), .result = {}};
        it.result.outcome = control::change_outcome::conflict;
        it.result.winner = control::note_record{note_number(4), sha256("n"), generation_id(9),
                                                "of the morning shift"};
        auto const got = text(encode_answer(any_message::of(it)));
        CPPUNIT_ASSERT(got.find("of the morning shift") != std::string::npos);
        CPPUNIT_ASSERT(got.find("\"result\":\"conflict\"") != std::string::npos);
        CPPUNIT_ASSERT(got.find(to_hex(sha256("n"))) != std::string::npos);
    }

    void long_names_are_shortened_in_places()
    {
        std::string const key = "a-planted-key-of-more-than-24-characters";
        auto const got = text(answer_to("POST", "/v1/notes", "{\"" + key + "\": 1}"));
        CPPUNIT_ASSERT(got.find(key) == std::string::npos);
        CPPUNIT_ASSERT(got.find("/a-planted-ke...") != std::string::npos);
    }

    void the_configuration_shows_digests_of_keys()
    {
        control::testing::replica it;
        it.commit<control::note_answer>(
            control::testing::submission(control::testing::first_note()));
        auto const report = it.commit<control::config_report>(control::config_query{});
        auto const got = text(encode_answer(any_message::of(report)));
        CPPUNIT_ASSERT(got.find("sha256:" + to_hex(sha256("relay's key"))) != std::string::npos);
    }

    void the_counters_have_the_form_of_prometheus()
    {
        auto const read = decode("GET", "/v1/counters", "");
        auto const* const got = std::get_if<text_answer>(&read);
        CPPUNIT_ASSERT(got != nullptr);
        CPPUNIT_ASSERT(got->body.find("mulberryrudder_config_generation 0\n") != std::string::npos);
    }

private:
    decoded decode(std::string_view method, std::string_view path, std::string_view body)
    {
        return decode_request(method, path,
                              {.name = {}, .body = body, .now = {}, .counters = counters_});
    }

    json_answer answer_to(std::string_view method, std::string_view path,
                          std::string_view body = "")
    {
        return std::get<json_answer>(decode(method, path, body));
    }

    unsigned status_of(std::string_view method, std::string_view path)
    {
        return answer_to(method, path).status;
    }

    std::type_index type_of(std::string_view method, std::string_view path,
                            std::string_view body = "")
    {
        auto const read = decode(method, path, body);
        auto const* const it = std::get_if<any_message>(&read);
        return it == nullptr ? std::type_index(typeid(void)) : it->type();
    }

    static unsigned status_for(control::change_outcome outcome)
    {
        control::note_answer it;
        it.result.outcome = outcome;
        return encode_answer(any_message::of(it)).status;
    }

    static std::string text(json_answer const& it) { return boost::json::serialize(it.body); }

    kernel::counter_set counters_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_codec_test);

} // namespace

} // namespace mulberryrudder::operator_http
