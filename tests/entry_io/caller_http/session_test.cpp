#include "plugins/entry_io/caller_http/session.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <vector>

namespace mulberryrudder::caller_http
{

namespace
{

using boost::asio::ip::tcp;

/// Passes requests on as the caller duty does, and counts them.
class fake_owner final : public session_owner
{
public:
    request_id next_id() override { return request_id(++last_id_); }
    void arrived(std::shared_ptr<session> const& from, request_id id, http_request&&,
                 instant first_byte) override
    {
        if (!from->read_ahead())
            return from->caller_left();
        asked.push_back(id);
        first_bytes.push_back(first_byte);
        from->expect_answer(id);
        last = from;
    }
    void caller_gone(request_id id) override { gone.push_back(id); }
    void unwatched(request_id) override { ++unwatched_; }
    void ended(std::shared_ptr<session> const&) override { ++ended_; }
    caller_settings const& config() const override { return config_; }
    caller_limits const& limits() const override { return limits_; }
    bool closing() const override { return closing_; }
    void read_limit(milliseconds limit) { config_.read_limit = limit; }
    void most_waiting_answers(byte_count limit) { config_.most_waiting_answers = limit; }
    http_response refuse_overloaded() override
    {
        ++refused;
        return encode_status(503);
    }
    kernel::byte_budget& unanswered_bytes() override { return bytes; }
    kernel::byte_budget& waiting_bytes() override { return waiting; }

    std::vector<request_id> asked;
    std::vector<instant> first_bytes; ///< Of `asked`.
    std::vector<request_id> gone;
    int unwatched_ = 0;
    int ended_ = 0;
    int refused = 0;
    bool closing_ = false;
    kernel::byte_budget bytes{byte_count(300'000)};
    kernel::byte_budget waiting{byte_count(300'000)};
    std::shared_ptr<session> last;

private:
    std::uint64_t last_id_ = 0;
    caller_settings config_;
    caller_limits limits_ = narrowed(config_, {});
};

/// One session over a real socket, with a loop that the test turns.
class session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_test);
    CPPUNIT_TEST(a_caller_that_left_before_its_request_was_read_asks_nothing);
    CPPUNIT_TEST(safe_requests_are_taken_at_once_and_answered_in_order);
    CPPUNIT_TEST(a_safe_request_is_taken_while_an_answer_is_written);
    CPPUNIT_TEST(an_unsafe_request_waits_for_the_answers_before_it);
    CPPUNIT_TEST(requests_behind_an_unsafe_one_wait_for_its_answer);
    CPPUNIT_TEST(requests_beyond_the_limit_are_taken_as_answers_are_written);
    CPPUNIT_TEST(no_further_request_is_taken_while_large_answers_wait);
    CPPUNIT_TEST(answers_of_all_connections_that_wait_stop_the_reading);
    CPPUNIT_TEST(a_caller_that_leaves_is_told_for_each_request_newest_first);
    CPPUNIT_TEST(a_caller_that_leaves_while_an_answer_is_written_is_told_for_the_others);
    CPPUNIT_TEST(a_caller_that_leaves_behind_unread_bytes_is_told);
    CPPUNIT_TEST(a_refusal_is_written_behind_the_answers_before_it);
    CPPUNIT_TEST(the_answer_that_closes_is_the_last_of_those_that_were_taken);
    CPPUNIT_TEST(no_request_is_taken_behind_one_that_closes_the_connection);
    CPPUNIT_TEST(an_answer_for_a_connection_that_ended_is_ignored);
    CPPUNIT_TEST(a_request_that_was_read_ahead_is_dated_by_its_first_byte);
    CPPUNIT_TEST(a_head_request_among_others_is_answered_without_a_body);
    CPPUNIT_TEST(an_answer_behind_one_that_is_taken_slowly_is_not_cut);
    CPPUNIT_TEST(bytes_without_end_behind_a_request_are_left_in_the_socket);
    CPPUNIT_TEST(a_head_without_end_is_refused);
    CPPUNIT_TEST(a_body_without_end_is_refused_when_there_is_no_room);
    CPPUNIT_TEST(the_last_answer_is_whole_although_requests_were_sent_behind_it);
    CPPUNIT_TEST(many_bytes_behind_the_last_answer_do_not_cut_it);
    CPPUNIT_TEST(waiting_answers_refuse_no_body);
    CPPUNIT_TEST(a_body_behind_unanswered_requests_is_left_in_the_socket);
    CPPUNIT_TEST(a_request_behind_a_body_in_many_pieces_is_dated_by_its_first_byte);
    CPPUNIT_TEST(an_idle_connection_is_not_closed_while_its_answer_is_under_way);
    CPPUNIT_TEST(a_caller_that_leaves_a_closed_connection_open_is_left_at_the_limit);
    CPPUNIT_TEST(a_caller_that_takes_its_answer_slowly_gets_all_of_it);
    CPPUNIT_TEST(a_caller_that_takes_nothing_of_its_answer_is_cut_off_at_the_limit);
    CPPUNIT_TEST(an_answer_is_under_way_until_the_caller_has_confirmed_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        acceptor_.emplace(loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        caller_.emplace(loop_, tcp::v4());
        // A small window, so that a long answer waits on the side of the session.
        caller_->set_option(tcp::socket::receive_buffer_size(4096));
        caller_->connect(acceptor_->local_endpoint());
    }

    void tearDown() override
    {
        caller_.reset();
        turn();
        owner_.last.reset();
    }

    // Guards against GONE: an instance that was behind passed on the requests of callers
    // that had left before these were read.
    void a_caller_that_left_before_its_request_was_read_asks_nothing()
    {
        send(request);
        caller_->close();
        start();
        CPPUNIT_ASSERT(owner_.gone.empty());
        CPPUNIT_ASSERT_MESSAGE("no request", owner_.asked.empty());
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against SHORT: a request that was sent ahead was taken only after the answers to all
    // requests before it on its connection.
    void safe_requests_are_taken_at_once_and_answered_in_order()
    {
        send(request + request + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner_.asked.size());
        answer(2, "third");
        answer(1, "second");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, caller_->available());
        answer(0, "first");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), next_answer().body());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), next_answer().body());
        CPPUNIT_ASSERT_EQUAL(std::string("third"), next_answer().body());
        CPPUNIT_ASSERT_EQUAL(0, owner_.ended_);
    }

    void a_safe_request_is_taken_while_an_answer_is_written()
    {
        send(request);
        start();
        answer_last(long_answer());
        send(request);
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
        CPPUNIT_ASSERT(reads_whole_answer());
    }

    // Guards against TWICE and reordering: a request that is not safe ran beside those before it.
    void an_unsafe_request_waits_for_the_answers_before_it()
    {
        send(request + request + unsafe_request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
        answer(1, "second");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner_.asked.size());
    }

    void requests_behind_an_unsafe_one_wait_for_its_answer()
    {
        send(unsafe_request + request + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner_.asked.size());
    }

    // Guards against a caller that holds the places of all others by sending ahead.
    void requests_beyond_the_limit_are_taken_as_answers_are_written()
    {
        auto const limit = static_cast<std::size_t>(owner_.config().most_pipelined.count());
        std::string many;
        for (std::size_t n = 0; n != limit + 5; ++n)
            many += request;
        send(many);
        start();
        CPPUNIT_ASSERT_EQUAL(limit, owner_.asked.size());
        answer(1, "second");
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not written", limit, owner_.asked.size());
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT_EQUAL(limit + 2, owner_.asked.size());
    }

    // Guards against memory that fills with answers behind a slow one.
    void no_further_request_is_taken_while_large_answers_wait()
    {
        owner_.most_waiting_answers(byte_count(100'000));
        send(request + request);
        start();
        answer(1, std::string(100'000, 'x'));
        send(request);
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
        auto const one_request =
            byte_count(static_cast<std::int64_t>(request.size())) + request_overhead;
        CPPUNIT_ASSERT(byte_count(100'000) == owner_.waiting.used());
        CPPUNIT_ASSERT(one_request == owner_.bytes.used());
        answer(0, "first");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), next_answer().body());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100'000}, next_answer().body().size());
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner_.asked.size());
        CPPUNIT_ASSERT(one_request == owner_.bytes.used());
        CPPUNIT_ASSERT(byte_count(0) == owner_.waiting.used());
    }

    void answers_of_all_connections_that_wait_stop_the_reading()
    {
        kernel::byte_charge others(owner_.waiting);
        CPPUNIT_ASSERT(others.set(byte_count(300'000)));
        send(request + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
        others.reset();
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
    }

    // Guards against GONE: told in the order of the requests, the departure from one may start the
    // next.
    void a_caller_that_leaves_is_told_for_each_request_newest_first()
    {
        send(request + request + request);
        start();
        caller_->close();
        turn();
        auto const newest_first = std::vector(owner_.asked.rbegin(), owner_.asked.rend());
        CPPUNIT_ASSERT(newest_first == owner_.gone);
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against GONE: a caller that left while an answer was written was not seen, and its
    // further requests ran on.
    void a_caller_that_leaves_while_an_answer_is_written_is_told_for_the_others()
    {
        send(request + request + request);
        start();
        answer(0, std::string(endless_answer, 'x'));
        turn();
        boost::system::error_code ec;
        caller_->shutdown(tcp::socket::shutdown_send, ec);
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.gone.size());
        CPPUNIT_ASSERT(owner_.asked[2] == owner_.gone[0] && owner_.asked[1] == owner_.gone[1]);
        CPPUNIT_ASSERT_MESSAGE("the answer is still written", reads_whole_answer(endless_answer));
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against GONE: a caller's leaving was not seen behind more bytes than are read.
    void a_caller_that_leaves_behind_unread_bytes_is_told()
    {
        send(unsafe_request);
        start();
        for (int n = 0; n != 10; ++n, turn())
            send(std::string(2048, 'x'));
        CPPUNIT_ASSERT_EQUAL(1, owner_.unwatched_);
        CPPUNIT_ASSERT(owner_.gone.empty());
        caller_->close();
        for (int n = 0; n != 10; ++n)
            turn();
        CPPUNIT_ASSERT(owner_.asked == owner_.gone);
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    void a_refusal_is_written_behind_the_answers_before_it()
    {
        send(request + request + "no request\r\n\r\n" + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
        answer(1, "second");
        answer(0, "first");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), next_answer().body());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), next_answer().body());
        auto const last = next_answer();
        CPPUNIT_ASSERT_EQUAL(400U, last.result_int());
        CPPUNIT_ASSERT(!last.keep_alive());
        caller_->close();
        turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against TWICE: requests behind an answer that closes the connection are sent again by
    // their caller, whatever has become of them.
    void the_answer_that_closes_is_the_last_of_those_that_were_taken()
    {
        send(request + request + request);
        start();
        owner_.closing_ = true;
        answer(0, "first");
        send(request);
        turn();
        answer(1, "second");
        answer(2, "third");
        turn();
        CPPUNIT_ASSERT_MESSAGE("first", next_answer().keep_alive());
        CPPUNIT_ASSERT_MESSAGE("second", next_answer().keep_alive());
        CPPUNIT_ASSERT_MESSAGE("third", !next_answer().keep_alive());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no further one", std::size_t{3}, owner_.asked.size());
    }

    void no_request_is_taken_behind_one_that_closes_the_connection()
    {
        send("GET /r/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT(!next_answer().keep_alive());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
    }

    void an_answer_for_a_connection_that_ended_is_ignored()
    {
        send(request + request);
        start();
        caller_->close();
        turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
        answer(0, "first");
        answer(1, "second");
        turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against SHORT: the time that a request waited to be taken was in no figure.
    void a_request_that_was_read_ahead_is_dated_by_its_first_byte()
    {
        send(unsafe_request + request);
        start();
        auto const sent = monotonic_now();
        for (int n = 0; n != 3; ++n)
            turn();
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner_.asked.size());
        CPPUNIT_ASSERT(owner_.first_bytes[1] <= sent);
    }

    void a_head_request_among_others_is_answered_without_a_body()
    {
        send(request + "HEAD /r/ HTTP/1.1\r\nHost: x\r\n\r\n" + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner_.asked.size());
        answer(2, "third");
        answer(1, "second");
        answer(0, "first");
        CPPUNIT_ASSERT_EQUAL(std::string("first"), next_answer().body());
        CPPUNIT_ASSERT_EQUAL(std::string(), next_answer(answer_to::head).body());
        CPPUNIT_ASSERT_EQUAL(std::string("third"), next_answer().body());
    }

    // Guards against LOST: an answer was taken for one that its caller does not take, since bytes
    // of the answer before it were still under way.
    void an_answer_behind_one_that_is_taken_slowly_is_not_cut()
    {
        owner_.read_limit(milliseconds(100));
        send(request + request);
        start();
        constexpr std::size_t size = 3'000'000;
        answer(0, std::string(size, 'x'));
        answer(1, std::string(size, 'x'));
        CPPUNIT_ASSERT(reads_whole_answer(2 * size));
        CPPUNIT_ASSERT_EQUAL(0, owner_.ended_);
    }

    /// Pattern: a caller sends bytes without end behind its request.
    void bytes_without_end_behind_a_request_are_left_in_the_socket()
    {
        send(request);
        start();
        CPPUNIT_ASSERT_MESSAGE("the sender is held up", pour() < endless);
        CPPUNIT_ASSERT_EQUAL(1, owner_.unwatched_);
        answer_last(encode_status(204));
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("closed", 1, owner_.ended_);
    }

    void a_head_without_end_is_refused()
    {
        send("GET /r/ HTTP/1.1\r\nX: ");
        start();
        CPPUNIT_ASSERT(pour() < endless);
        CPPUNIT_ASSERT(owner_.asked.empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("closed", 1, owner_.ended_);
    }

    /// Pattern: callers send bodies without end; each is within its own limit, and together
    /// they would fill the memory.
    void a_body_without_end_is_refused_when_there_is_no_room()
    {
        kernel::byte_charge others(owner_.bytes);
        CPPUNIT_ASSERT(others.set(byte_count(200'000)));
        send("POST /r/ HTTP/1.1\r\nContent-Length: 900000\r\n\r\n");
        start();
        CPPUNIT_ASSERT(pour() < endless);
        CPPUNIT_ASSERT(owner_.asked.empty());
        CPPUNIT_ASSERT_EQUAL(1, owner_.refused);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("closed", 1, owner_.ended_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200'000}, owner_.bytes.used().count());
    }

    // Guards against LOST: with bytes of the caller unread, closing the socket behind the last
    // answer reset the connection, and the kernel dropped what it had not sent.
    void the_last_answer_is_whole_although_requests_were_sent_behind_it()
    {
        send(request);
        start();
        owner_.closing_ = true;
        answer_last(long_answer());
        send(request + request);
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("whole", true, reads_whole_answer());
        caller_->close();
        turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no further request", std::size_t{1}, owner_.asked.size());
    }

    // Guards against LOST: the limit for discarded bytes reset a connection whose last answer was
    // under way.
    void many_bytes_behind_the_last_answer_do_not_cut_it()
    {
        send(request);
        start();
        owner_.closing_ = true;
        answer_last(long_answer());
        turn();
        caller_->non_blocking(true);
        std::string const piece(4096, 'x');
        boost::system::error_code ec;
        std::size_t sent = 0;
        for (int n = 0; n != 1000 && sent < 1'000'000; ++n)
        {
            ec = {};
            sent += caller_->write_some(boost::asio::buffer(piece), ec);
            if (ec && ec != boost::asio::error::would_block)
                break;
            if (ec)
                turn();
        }
        turn();
        CPPUNIT_ASSERT_MESSAGE("whole", reads_whole_answer());
    }

    // Guards against refusals: answers that wait for others took the room of other callers' bodies.
    void waiting_answers_refuse_no_body()
    {
        kernel::byte_charge others(owner_.waiting);
        others.replace(byte_count(1'000'000));
        send("POST /r/ HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n" +
             std::string(20'000, 'x'));
        start();
        CPPUNIT_ASSERT_EQUAL(0, owner_.refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
    }

    /// Pattern: a caller sends a long body behind a request that takes long.
    void a_body_behind_unanswered_requests_is_left_in_the_socket()
    {
        send(request + "POST /r/ HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n");
        start();
        CPPUNIT_ASSERT(pour() < endless);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
        CPPUNIT_ASSERT_EQUAL(0, owner_.refused);
        auto const one_request =
            byte_count(static_cast<std::int64_t>(request.size())) + request_overhead;
        CPPUNIT_ASSERT(one_request == owner_.bytes.used());
    }

    // Guards against SHORT: a request that came behind a body in many pieces was dated by the last
    // of what had been read.
    void a_request_behind_a_body_in_many_pieces_is_dated_by_its_first_byte()
    {
        send("POST /r/ HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n");
        start();
        for (int n = 0; n != 100; ++n)
        {
            send("x");
            loop_.restart();
            loop_.run_for(milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_.asked.size());
        send(request);
        turn();
        auto const sent = monotonic_now();
        send(request);
        turn();
        answer(0, "first");
        turn();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owner_.asked.size());
        CPPUNIT_ASSERT(owner_.first_bytes[1] <= sent);
        CPPUNIT_ASSERT(owner_.first_bytes[2] >= sent);
    }

    // Guards against LOST: a planned stop closed a connection between two requests while the
    // answer before was still under way, and a request that arrived then reset it.
    void an_idle_connection_is_not_closed_while_its_answer_is_under_way()
    {
        send(request);
        start();
        answer_last(long_answer());
        turn();
        owner_.closing_ = true;
        owner_.last->close_if_idle();
        send(request);
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("whole", true, reads_whole_answer());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the next one is taken", std::size_t{2}, owner_.asked.size());
        answer_last(encode_status(204));
        turn();
        caller_->close();
        turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against connections that stay for good, since the caller does not end its side.
    void a_caller_that_leaves_a_closed_connection_open_is_left_at_the_limit()
    {
        owner_.read_limit(milliseconds(100));
        send(request);
        start();
        owner_.closing_ = true;
        answer_last(encode_status(204));
        turn();
        CPPUNIT_ASSERT_EQUAL(0, owner_.ended_);
        for (int n = 0; n != 10; ++n)
            turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against LOST: an answer that took longer than the limit for reading was cut, although
    // its caller read all along.
    void a_caller_that_takes_its_answer_slowly_gets_all_of_it()
    {
        owner_.read_limit(milliseconds(100));
        send(request);
        start();
        constexpr std::size_t size = 6'000'000;
        answer_last(long_answer(size));
        auto const begun = monotonic_now();
        CPPUNIT_ASSERT(reads_whole_answer(size));
        CPPUNIT_ASSERT_MESSAGE("longer than the limit",
                               monotonic_now() - begun > owner_.config().read_limit);
        CPPUNIT_ASSERT_EQUAL(0, owner_.ended_);
    }

    void a_caller_that_takes_nothing_of_its_answer_is_cut_off_at_the_limit()
    {
        owner_.read_limit(milliseconds(100));
        send(request);
        start();
        answer_last(long_answer(endless_answer));
        for (int n = 0; n != 10; ++n)
            turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    // Guards against LOST: a planned stop ended the process while answers that had been handed to
    // the front end were being taken.
    void an_answer_is_under_way_until_the_caller_has_confirmed_it()
    {
        send(request);
        start();
        CPPUNIT_ASSERT(owner_.last->has_answer_under_way());
        answer_last(long_answer());
        turn();
        CPPUNIT_ASSERT_MESSAGE("in the kernel's buffers", owner_.last->has_answer_under_way());
        CPPUNIT_ASSERT(reads_whole_answer());
        turn();
        CPPUNIT_ASSERT(!owner_.last->has_answer_under_way());
    }

private:
    /// More than the buffers of the kernel take.
    static constexpr std::size_t endless_answer = 20'000'000;
    /// Fills the buffers of the kernel on the side of the session, and not more.
    static constexpr std::size_t long_size = 400'000;

    static http_response long_answer(std::size_t size = long_size)
    {
        auto out = encode_status(200);
        out.body() = std::string(size, 'x');
        return out;
    }

    void answer_last(http_response&& what)
    {
        owner_.last->answer(owner_.asked.back(), std::move(what));
    }

    /// Answers request `n` of those that arrived.
    void answer(std::size_t n, std::string body)
    {
        auto out = encode_status(200);
        out.body() = std::move(body);
        owner_.last->answer(owner_.asked.at(n), std::move(out));
    }

    enum class answer_to
    {
        get,
        head
    };

    /// Reads the next whole answer.
    http_response next_answer(answer_to kind = answer_to::get)
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> out;
        out.skip(kind == answer_to::head);
        bool done = false;
        boost::beast::http::async_read(*caller_, buf_, out,
                                       [&done](boost::system::error_code ec, std::size_t)
                                       {
                                           CPPUNIT_ASSERT_EQUAL(std::string(),
                                                                ec ? ec.message() : std::string());
                                           done = true;
                                       });
        for (int n = 0; n != 100 && !done; ++n)
            turn();
        CPPUNIT_ASSERT_MESSAGE("a whole answer", done);
        return out.release();
    }

    /// Reads slowly up to the end of a long answer; returns whether it came whole.
    bool reads_whole_answer(std::size_t size = long_size)
    {
        std::array<char, 16'384> buf;
        std::string got;
        boost::system::error_code ec;
        caller_->non_blocking(true);
        for (int n = 0; n != 20'000 && got.size() < size; ++n)
        {
            ec = {};
            got.append(buf.data(), caller_->read_some(boost::asio::buffer(buf), ec));
            if (ec && ec != boost::asio::error::would_block)
                return false;
            loop_.restart();
            loop_.run_for(milliseconds(1));
        }
        return got.size() >= size;
    }

    static inline std::string const request = "GET /r/ HTTP/1.1\r\nHost: x\r\n\r\n";
    static inline std::string const unsafe_request =
        "POST /r/ HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    static constexpr std::size_t endless = 67'108'864;

    void send(std::string const& bytes)
    {
        boost::asio::write(*caller_, boost::asio::buffer(bytes));
    }

    /// Sends bytes for as long as they are taken; returns how many were.
    std::size_t pour()
    {
        caller_->non_blocking(true);
        std::string const bytes(4096, 'x');
        std::size_t out = 0;
        boost::system::error_code ec;
        for (int stalls = 0; stalls != 20; ++stalls, turn())
            for (ec = {}; !ec && out < endless;)
                out += caller_->write_some(boost::asio::buffer(bytes), ec);
        return out;
    }

    void start()
    {
        session_owner& owner = owner_;
        std::make_shared<session>(acceptor_->accept(), owner, connection_id(1), monotonic_now(),
                                  false)
            ->start();
        turn();
    }

    void turn()
    {
        loop_.restart();
        loop_.run_for(milliseconds(20));
    }

    boost::asio::io_context loop_;
    fake_owner owner_;
    boost::beast::flat_buffer buf_; ///< Of the caller.
    std::optional<tcp::acceptor> acceptor_;
    std::optional<tcp::socket> caller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_test);

} // namespace

} // namespace mulberryrudder::caller_http
