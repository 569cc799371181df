#include <tests/control/support/replica.hpp>

#include <mulberryrudder/control_io/operator_codec.hpp>

#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::operator_http
{

namespace
{

std::string const planted = "planted-key-0123456789-abcdefgh";

/// A note in which each text between quotes can be replaced by a key.
std::string const sample_note = R"({"number": 7, "comment": "why",
    "add": {"customers": {"relay": {"rate": 1, "burst": 2, "home": "ege",
                                    "keys": ["sha256:0011"]}},
            "keys": {"relay": ["sha256:0011"]},
            "routes": {"timing": {"customers": ["relay"], "version": "v1"}},
            "moves": {"timing": {"version": "v2", "cap": 5, "deadline": "2036-12-04T18:30:00Z"}},
            "links": {"ege:marmara": 5}},
    "change": {"customers": {"a": {"home": "ege"}}, "routes": {"a": {"customers": ["b"]}},
               "moves": {"a": {"cap": 5}}},
    "withdraw": {"customers": ["c"], "keys": ["0123456789ab"], "routes": ["d"], "moves": ["e"],
                 "links": ["ege:izmir"]}})";

/// Returns the places of all texts between quotes.
std::vector<std::pair<std::size_t, std::size_t>> texts_in(std::string const& note)
{
    std::vector<std::pair<std::size_t, std::size_t>> out;
    for (auto start = note.find('"'); start != std::string::npos; start = note.find('"', start))
    {
        auto const end = note.find('"', start + 1);
        out.emplace_back(start + 1, end - start - 1);
        start = end + 1;
    }
    return out;
}

class planted_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planted_key_test);
    CPPUNIT_TEST(a_key_anywhere_in_a_note_is_in_no_answer_and_no_event);
    CPPUNIT_TEST(a_key_in_a_path_is_in_no_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_key_anywhere_in_a_note_is_in_no_answer_and_no_event()
    {
        for (auto const& [at, n] : texts_in(sample_note))
        {
            auto note = sample_note;
            check(note.replace(at, n, planted));
            // The same with digests and withdrawals that are right, to pass the codec.
            auto other = sample_note;
            other.replace(at, n, planted);
            for (auto k = other.find("sha256:0011"); k != std::string::npos;
                 k = other.find("sha256:0011"))
                other.replace(k, 11, "sha256:" + std::string(64, 'a'));
            check(other);
        }
    }

    void a_key_in_a_path_is_in_no_answer()
    {
        for (auto const& path : {"/v1/notes/" + planted, "/" + planted, "/v1/status/" + planted})
            CPPUNIT_ASSERT(answer_to("GET", path, "").find(planted) == std::string::npos);
    }

private:
    void check(std::string const& note)
    {
        auto const answer = answer_to("POST", "/v1/notes", note);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find(planted) == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(replica_.events(),
                               replica_.events().find(planted) == std::string::npos);
    }

    std::string answer_to(std::string_view method, std::string_view path, std::string_view body)
    {
        auto const read = decode_request(
            method, path, {.name = {}, .body = body, .now = {}, .counters = counters_});
        if (auto const* const request = std::get_if<any_message>(&read))
            return boost::json::serialize(encode_answer(replica_.commit_any(*request)).body);
        return boost::json::serialize(std::get<json_answer>(read).body);
    }

    kernel::counter_set counters_;
    control::testing::replica replica_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(planted_key_test);

} // namespace

} // namespace mulberryrudder::operator_http
