#include "running_duty.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace mulberryrudder::caller_http
{

namespace
{

using boost::asio::ip::tcp;

using testing::after_sending;
using testing::decisions;
using testing::running_duty;

std::string status_line(std::string const& reply)
{
    return reply.substr(0, reply.find("\r\n"));
}

std::string random_bytes(std::mt19937_64& random, std::size_t most)
{
    std::string out(random() % most, '\0');
    for (auto& it : out)
        it = static_cast<char>(random());
    return out;
}

/// Puts a request together from parts that are valid, odd or broken.
std::string almost_a_request(std::mt19937_64& random)
{
    static char const* const methods[] = {"GET", "POST", "PUT", "BREW", "", "get", "OPTIONS"};
    static char const* const targets[] = {
        "/",  "/v1",    "/v1/lookup?route=", "*",
        "//", "/r/%zz", "http://x/y",        "/v1/explain/99999999999999999999"};
    static char const* const lines[] = {"Host: x",
                                        "Content-Length: 5",
                                        "Content-Length: -1",
                                        "Transfer-Encoding: chunked",
                                        ": empty",
                                        "A",
                                        "X: \x01",
                                        "Authorization: Bearer",
                                        "Mulberry-Deadline-Ms: 1e9"};
    auto out = std::string(methods[random() % std::size(methods)]) + " " +
               targets[random() % std::size(targets)] + " HTTP/1." + std::to_string(random() % 3) +
               "\r\n";
    for (auto n = random() % 6; n != 0; --n)
        out += std::string(lines[random() % std::size(lines)]) + "\r\n";
    return out + "Connection: close\r\n\r\n" + random_bytes(random, 32);
}

class caller_duty_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_duty_test);
    CPPUNIT_TEST(a_header_over_the_limit_is_refused);
    CPPUNIT_TEST(a_body_over_the_limit_is_refused);
    CPPUNIT_TEST(a_slow_sender_is_cut_at_the_limit);
    CPPUNIT_TEST(a_plan_narrows_the_header);
    CPPUNIT_TEST(a_plan_narrows_the_body);
    CPPUNIT_TEST(a_plan_narrows_the_time_for_a_header);
    CPPUNIT_TEST(a_plan_narrows_the_time_without_a_request);
    CPPUNIT_TEST(a_plan_never_widens_the_settings);
    CPPUNIT_TEST(a_caller_that_leaves_is_told);
    CPPUNIT_TEST(a_caller_that_sent_ahead_and_leaves_is_told);
    CPPUNIT_TEST(a_caller_that_sends_more_while_it_waits_and_leaves_is_told);
    CPPUNIT_TEST(a_departure_waits_for_room_in_the_ring);
    CPPUNIT_TEST(requests_sent_ahead_are_answered_in_order);
    CPPUNIT_TEST(safe_requests_sent_ahead_run_side_by_side);
    CPPUNIT_TEST(a_planned_stop_waits_for_callers_that_take_their_answers);
    CPPUNIT_TEST(a_planned_stop_without_callers_ends_at_once);
    CPPUNIT_TEST(descriptors_are_left_for_other_connections);
    CPPUNIT_TEST(random_bytes_end_with_a_closed_connection);
    CPPUNIT_TEST(almost_valid_requests_end_with_a_closed_connection);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { duty_ = std::make_unique<running_duty>(); }
    void tearDown() override { duty_.reset(); }

    void a_header_over_the_limit_is_refused()
    {
        auto const text = "GET /r/ HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431 Request Header Fields Too Large"),
                             status_line(duty_->exchange(text)));
    }

    void a_body_over_the_limit_is_refused()
    {
        auto const text =
            "POST /r/ HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x');
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413 Payload Too Large"),
                             status_line(duty_->exchange(text)));
    }

    void a_slow_sender_is_cut_at_the_limit()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), duty_->exchange("GET /r/ HTTP/1.1\r\nHost:"));
    }

    void a_plan_narrows_the_header()
    {
        restart({.most_header = byte_count(1000)});
        auto const text = "GET /r/ HTTP/1.1\r\nX: " + std::string(1500, 'x') + "\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431 Request Header Fields Too Large"),
                             status_line(duty_->exchange(text)));
    }

    void a_plan_narrows_the_body()
    {
        restart({.most_body = byte_count(100)});
        auto const text =
            "POST /r/ HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x');
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413 Payload Too Large"),
                             status_line(duty_->exchange(text)));
    }

    void a_plan_narrows_the_time_for_a_header()
    {
        restart({.header_limit = milliseconds(20)});
        auto const begun = monotonic_now();
        CPPUNIT_ASSERT_EQUAL(std::string(), duty_->exchange("GET /r/ HTTP/1.1\r\nHost:"));
        CPPUNIT_ASSERT(monotonic_now() - begun < milliseconds(90));
    }

    void a_plan_narrows_the_time_without_a_request()
    {
        restart({.idle_limit = milliseconds(50)});
        CPPUNIT_ASSERT_EQUAL(std::string(), duty_->exchange(""));
    }

    void a_plan_never_widens_the_settings()
    {
        caller_settings const config{.most_header = byte_count(2048),
                                     .most_body = byte_count(4096),
                                     .read_limit = milliseconds(100),
                                     .idle_limit = milliseconds(1000)};
        auto const out = narrowed(config, {.most_header = byte_count(9999),
                                           .most_body = byte_count(9999),
                                           .header_limit = milliseconds(9999),
                                           .idle_limit = milliseconds(9999)});
        CPPUNIT_ASSERT(out == narrowed(config, {}));
    }

    void a_caller_that_leaves_is_told()
    {
        restart({}, decisions::none);
        boost::asio::io_context loop;
        tcp::socket socket(loop);
        duty_->send(socket, request);
        expect_departure_of(expect_request(), socket);
    }

    // Guards against GONE: a connection with a further request in its buffer was not watched,
    // so work went on, and the further requests ran, after their caller had left.
    void a_caller_that_sent_ahead_and_leaves_is_told()
    {
        restart({}, decisions::none);
        boost::asio::io_context loop;
        tcp::socket socket(loop);
        duty_->send(socket, request + request + unsafe_request + request);
        auto const first = expect_request();
        auto const second = expect_request();
        expect_departure_of(second, socket);
        expect_departure(first);
        CPPUNIT_ASSERT_MESSAGE("a request that was sent ahead", !duty_->next_input());
    }

    // Guards against GONE: once bytes came on a watched connection it was not watched again.
    void a_caller_that_sends_more_while_it_waits_and_leaves_is_told()
    {
        restart({}, decisions::none);
        boost::asio::io_context loop;
        tcp::socket socket(loop);
        duty_->send(socket, unsafe_request);
        auto const id = expect_request();
        for (int n = 0; n != 3; ++n)
        {
            boost::asio::write(socket, boost::asio::buffer(request));
            std::this_thread::sleep_for(milliseconds(20));
        }
        expect_departure_of(id, socket);
    }

    // Guards against GONE: a departure that met a full ring was dropped, and the request ran
    // until its deadline.
    void a_departure_waits_for_room_in_the_ring()
    {
        restart({}, decisions::none);
        boost::asio::io_context loop;
        tcp::socket leaving(loop);
        duty_->send(leaving, request);
        tcp::socket busy(loop);
        duty_->send(busy, announcement);
        while (next_status(busy) != "HTTP/1.1 503 Service Unavailable")
            boost::asio::write(busy, boost::asio::buffer(announcement));
        leaving.close();
        std::this_thread::sleep_for(milliseconds(50));
        auto const id = expect_request();
        std::optional<entry::input> it;
        while ((it = duty_->next_input()) && !std::holds_alternative<entry::caller_gone>(*it))
        {
        }
        CPPUNIT_ASSERT_MESSAGE("the departure is told", it.has_value());
        CPPUNIT_ASSERT(std::get<entry::caller_gone>(*it).id == id);
    }

    void requests_sent_ahead_are_answered_in_order()
    {
        auto const last = "GET /v1/health HTTP/1.1\r\nConnection: close\r\n\r\n";
        auto const replies = duty_->exchange(request + request + last);
        auto const first = replies.find("503 Service Unavailable");
        auto const second = replies.find("503 Service Unavailable", first + 1);
        CPPUNIT_ASSERT(second != std::string::npos);
        CPPUNIT_ASSERT(replies.find("200 OK", second) != std::string::npos);
    }

    // Guards against SHORT: a request that was sent ahead was taken only after the answers to all
    // requests before it on its connection, and came late to targets that were free.
    void safe_requests_sent_ahead_run_side_by_side()
    {
        restart({}, decisions::none);
        boost::asio::io_context loop;
        tcp::socket caller(loop);
        duty_->send(caller, request + request + request);
        auto const first = expect_request();
        auto const second = expect_request();
        auto const third = expect_request();
        answer(third, "third");
        answer(second, "second");
        std::this_thread::sleep_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("answers wait for their turn", std::size_t{0},
                                     caller.available());
        answer(first, "first");
        boost::beast::flat_buffer buf;
        CPPUNIT_ASSERT_EQUAL(std::string("first"), next_body(caller, buf));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), next_body(caller, buf));
        CPPUNIT_ASSERT_EQUAL(std::string("third"), next_body(caller, buf));
    }

    // Guards against LOST: a planned stop ended the process once all requests were decided, while
    // their answers were still being written to callers that read slowly.
    void a_planned_stop_waits_for_callers_that_take_their_answers()
    {
        restart({}, decisions::none);
        boost::asio::io_context loop;
        tcp::socket caller(loop);
        duty_->send(caller, "GET /r/ HTTP/1.1\r\nHost: x\r\n\r\n");
        auto const asked = duty_->next_input();
        CPPUNIT_ASSERT(asked && std::holds_alternative<entry::request_arrived>(*asked));
        // More than the buffers of the kernel take.
        constexpr std::size_t long_size = 20'000'000;
        reply const long_reply{.status = 200, .fields = {}, .body = std::string(long_size, 'x')};
        duty_->carry_out(entry::answer_caller{
            .id = std::get<entry::request_arrived>(*asked).id,
            .what = entry::answered{.content = std::make_shared<reply const>(long_reply)}});
        duty_->carry_out(entry::close_idle_callers{});
        duty_->carry_out(entry::stop_completed{});
        std::string got;
        boost::system::error_code ec;
        boost::asio::read(caller, boost::asio::dynamic_buffer(got),
                          boost::asio::transfer_at_least(long_size / 20), ec);
        std::this_thread::sleep_for(milliseconds(50)); // Below the limit for a caller's silence.
        CPPUNIT_ASSERT_MESSAGE("waits", !duty_->has_ended());
        boost::asio::read(caller, boost::asio::dynamic_buffer(got),
                          boost::asio::transfer_at_least(long_size - got.size()), ec);
        CPPUNIT_ASSERT(got.size() >= long_size);
        CPPUNIT_ASSERT(duty_->ended());
    }

    void a_planned_stop_without_callers_ends_at_once()
    {
        duty_->carry_out(entry::stop_completed{});
        CPPUNIT_ASSERT(duty_->ended());
    }

    // Guards against a process that spends all descriptors on callers, so that neither control nor
    // targets can be reached.
    void descriptors_are_left_for_other_connections()
    {
        caller_settings const config{.most_connections = connections(4000),
                                     .reserved_descriptors = 500};
        CPPUNIT_ASSERT(connections(4000) == affordable(config, 1'000'000));
        CPPUNIT_ASSERT(connections(3596) == affordable(config, 4096));
        CPPUNIT_ASSERT(connections(300) == affordable(config, 600));
    }

    void random_bytes_end_with_a_closed_connection()
    {
        std::mt19937_64 random(20261204);
        for (int n = 0; n != 200; ++n)
            duty_->exchange(random_bytes(random, 3000) + "\r\n\r\n", after_sending::hang_up);
        still_answers();
    }

    void almost_valid_requests_end_with_a_closed_connection()
    {
        std::mt19937_64 random(20261205);
        for (int n = 0; n != 200; ++n)
            duty_->exchange(almost_a_request(random), after_sending::hang_up);
        still_answers();
    }

private:
    static inline std::string const request = "GET /r/ HTTP/1.1\r\nHost: x\r\n\r\n";
    static inline std::string const unsafe_request =
        "POST /r/ HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    static inline std::string const announcement = []
    {
        std::string const body = R"({"target":"t","address":"127.0.0.1:1","domain":"d",)"
                                 R"("version":"v","routes":["r"],"slots":1})";
        return "POST /v1/announce HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }();

    /// Reads a whole answer and returns its first line.
    static std::string next_status(tcp::socket& from)
    {
        boost::beast::flat_buffer buf;
        boost::beast::http::response<boost::beast::http::string_body> it;
        boost::beast::http::read(from, buf, it);
        return "HTTP/1.1 " + std::to_string(it.result_int()) + " " + std::string(it.reason());
    }

    /// Reads a whole answer, of which `buf` may hold the begin, and returns its body.
    static std::string next_body(tcp::socket& from, boost::beast::flat_buffer& buf)
    {
        boost::beast::http::response<boost::beast::http::string_body> it;
        boost::beast::http::read(from, buf, it);
        return it.body();
    }

    void answer(request_id id, std::string body)
    {
        reply const content{.status = 200, .fields = {}, .body = std::move(body)};
        duty_->carry_out(entry::answer_caller{
            .id = id, .what = entry::answered{.content = std::make_shared<reply const>(content)}});
    }

    void restart(caller_limits const& stated, decisions with = decisions::refuse)
    {
        duty_.reset();
        duty_ = std::make_unique<running_duty>(stated, with);
    }

    request_id expect_request()
    {
        auto const it = duty_->next_input();
        CPPUNIT_ASSERT_MESSAGE("a request arrives", it.has_value());
        return std::get<entry::request_arrived>(*it).id;
    }

    /// Closes a connection and expects that the decisions hear of it.
    void expect_departure_of(request_id id, tcp::socket& socket)
    {
        socket.close();
        expect_departure(id);
    }

    void expect_departure(request_id id)
    {
        auto const it = duty_->next_input();
        CPPUNIT_ASSERT_MESSAGE("the departure is told", it.has_value());
        CPPUNIT_ASSERT(std::get<entry::caller_gone>(*it).id == id);
    }

    void still_answers()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("HTTP/1.1 200 OK"),
            status_line(duty_->exchange("GET /v1/health HTTP/1.1\r\nConnection: close\r\n\r\n")));
    }

    std::unique_ptr<running_duty> duty_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_duty_test);

} // namespace

} // namespace mulberryrudder::caller_http
