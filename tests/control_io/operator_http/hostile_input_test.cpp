#include <mulberryrudder/control_io/operator_codec.hpp>
#include <mulberryrudder/core/random.hpp>

#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace mulberryrudder::operator_http
{

namespace
{

constexpr std::uint64_t seeds = 4000;
constexpr std::string_view planted = "planted-key-0123456789-abcdefgh";
constexpr std::array<std::string_view, 4> methods{"GET", "POST", "PUT", "X"};
constexpr std::array<std::string_view, 8> paths{
    "/v1/notes",  "/v1/notes/check", "/v1/drain",   "/v1/quarantine",
    "/v1/status", "/v1/notes/1",     "/v1/moves/a", "/v1/"};
constexpr std::array<std::string_view, 24> names{
    "number", "based_on", "comment", "add",  "change",   "withdraw", "customers", "keys",
    "routes", "moves",    "links",   "rate", "burst",    "home",     "open",      "version",
    "cap",    "deadline", "relay",   "a:b",  "instance", "draining", "",          "\\u0000"};

/// Writes JSON that is nearly a note: known names, values of any kind, and now and
/// then a break of the grammar or a key where none belongs.
class hostile_writer
{
public:
    explicit hostile_writer(random_source& random) : random_(random) {}

    std::string write()
    {
        out_.clear();
        value(0);
        if (pick(4) == 0 && !out_.empty())
            out_[pick(out_.size())] = static_cast<char>(pick(256));
        if (pick(8) == 0)
            out_.resize(pick(out_.size() + 1));
        return out_;
    }

    std::string random_bytes()
    {
        std::string out(pick(300), ' ');
        for (auto& it : out)
            it = static_cast<char>(pick(256));
        return out;
    }

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

private:
    void value(int depth)
    {
        using writer = void (hostile_writer::*)(int);
        static constexpr writer kinds[] = {&hostile_writer::object, &hostile_writer::object,
                                           &hostile_writer::object, &hostile_writer::array,
                                           &hostile_writer::scalar};
        if (depth > 5)
            return scalar(depth);
        (this->*kinds[pick(std::size(kinds))])(depth);
    }

    void object(int depth)
    {
        out_ += "{";
        for (auto n = pick(5); n != 0; --n)
        {
            auto const name = pick(20) == 0 ? planted : names[pick(names.size())];
            out_ += "\"" + std::string(name) + "\":";
            value(depth + 1);
            out_ += n == 1 ? "" : ",";
        }
        out_ += "}";
    }

    void array(int depth)
    {
        out_ += "[";
        for (auto n = pick(4); n != 0; --n)
        {
            value(depth + 1);
            out_ += n == 1 ? "" : ",";
        }
        out_ += "]";
    }

    void scalar(int)
    {
        static std::array<std::string, 14> const scalars{"1",
                                                         "-1",
                                                         "0.5",
                                                         "1e999",
                                                         "18446744073709551615",
                                                         "9223372036854775808",
                                                         "true",
                                                         "null",
                                                         "\"\"",
                                                         "\"v1\"",
                                                         "\"2026-12-04T18:30:00Z\"",
                                                         "\"sha256:" + std::string(64, 'a') + "\"",
                                                         "\"" + std::string(planted) + "\"",
                                                         "\"\\ud800\""};
        out_ += scalars[pick(scalars.size())];
    }

    random_source& random_;
    std::string out_;
};

class hostile_input_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hostile_input_test);
    CPPUNIT_TEST(random_bytes_are_answered);
    CPPUNIT_TEST(nearly_right_json_is_answered_without_showing_a_key);
    CPPUNIT_TEST(deep_nesting_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_bytes_are_answered()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            random_source random(seed);
            hostile_writer from(random);
            auto const path = "/v1/" + from.random_bytes();
            send(seed, "GET", path, "");
            send(seed, "POST", "/v1/notes", from.random_bytes());
        }
    }

    void nearly_right_json_is_answered_without_showing_a_key()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            random_source random(seed);
            hostile_writer from(random);
            auto const method = methods[from.pick(methods.size())];
            auto const path = paths[from.pick(paths.size())];
            send(seed, method, path, from.write());
            send(seed, "POST", "/v1/notes", from.write());
            send(seed, "GET", "/v1/notes/" + std::string(planted), "");
        }
    }

    void deep_nesting_is_refused()
    {
        std::string const body = "{\"add\":" + std::string(100'000, '[');
        CPPUNIT_ASSERT_EQUAL(422U, status(decode("POST", "/v1/notes", body)));
    }

private:
    decoded decode(std::string_view method, std::string_view path, std::string_view body)
    {
        return decode_request(method, path,
                              {.name = {}, .body = body, .now = {}, .counters = counters_});
    }

    static unsigned status(decoded const& it) { return std::get<json_answer>(it).status; }

    /// Any input gives a request or an answer, and no answer repeats the key.
    void send(std::uint64_t seed, std::string_view method, std::string_view path,
              std::string_view body)
    {
        auto const where = "seed " + std::to_string(seed) + ", body " + std::string(body);
        decoded got;
        CPPUNIT_ASSERT_NO_THROW_MESSAGE(where, got = decode(method, path, body));
        if (auto const* const answer = std::get_if<json_answer>(&got))
            CPPUNIT_ASSERT_MESSAGE(where, boost::json::serialize(answer->body).find(planted) ==
                                              std::string::npos);
    }

    kernel::counter_set counters_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(hostile_input_test);

} // namespace

} // namespace mulberryrudder::operator_http
