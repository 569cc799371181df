#include "plugins/entry_io/caller_http/session.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace mulberryrudder::caller_http
{

namespace
{

using boost::asio::ip::tcp;

/// Passes requests on as the caller duty does, and counts them.
class fake_owner final : public session_owner
{
public:
    void arrived(std::shared_ptr<session> const& from, http_request&&, instant) override
    {
        if (!from->read_ahead())
            return from->end();
        from->expect_answer(request_id(++arrived_));
        last = from;
    }
    void caller_gone(request_id) override { ++gone; }
    void unwatched(request_id) override { ++unwatched_; }
    void ended(std::shared_ptr<session> const&) override { ++ended_; }
    caller_settings const& config() const override { return config_; }
    caller_limits const& limits() const override { return limits_; }
    bool closing() const override { return closing_; }
    void read_limit(milliseconds limit) { config_.read_limit = limit; }
    http_response refuse_overloaded() override
    {
        ++refused;
        return encode_status(503);
    }
    kernel::byte_budget& unanswered_bytes() override { return bytes; }

    std::uint64_t arrived_ = 0;
    int gone = 0;
    int unwatched_ = 0;
    int ended_ = 0;
    int refused = 0;
    bool closing_ = false;
    kernel::byte_budget bytes{byte_count(300'000)};
    std::shared_ptr<session> last;

private:
    caller_settings config_;
    caller_limits limits_ = narrowed(config_, {});
};

/// One session over a real socket, with a loop that the test turns.
class session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_test);
    CPPUNIT_TEST(a_caller_that_left_before_its_request_was_read_asks_nothing);
    CPPUNIT_TEST(requests_sent_ahead_are_taken_after_the_answer);
    CPPUNIT_TEST(bytes_without_end_behind_a_request_are_left_in_the_socket);
    CPPUNIT_TEST(a_head_without_end_is_refused);
    CPPUNIT_TEST(a_body_without_end_is_refused_when_there_is_no_room);
    CPPUNIT_TEST(the_last_answer_is_whole_although_requests_were_sent_behind_it);
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
        CPPUNIT_ASSERT_EQUAL(0, owner_.gone);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no request", std::uint64_t{0}, owner_.arrived_);
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
    }

    void requests_sent_ahead_are_taken_after_the_answer()
    {
        send(request + request);
        start();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, owner_.arrived_);
        owner_.last->answer(encode_status(204));
        turn();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, owner_.arrived_);
        CPPUNIT_ASSERT_EQUAL(0, owner_.ended_);
    }

    /// Pattern: a caller sends bytes without end behind its request.
    void bytes_without_end_behind_a_request_are_left_in_the_socket()
    {
        send(request);
        start();
        CPPUNIT_ASSERT_MESSAGE("the sender is held up", pour() < endless);
        CPPUNIT_ASSERT_EQUAL(1, owner_.unwatched_);
        owner_.last->answer(encode_status(204));
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("closed", 1, owner_.ended_);
    }

    void a_head_without_end_is_refused()
    {
        send("GET /r/ HTTP/1.1\r\nX: ");
        start();
        CPPUNIT_ASSERT(pour() < endless);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, owner_.arrived_);
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
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, owner_.arrived_);
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
        owner_.last->answer(long_answer());
        send(request + request);
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("whole", true, reads_whole_answer());
        caller_->close();
        turn();
        CPPUNIT_ASSERT_EQUAL(1, owner_.ended_);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no further request", std::uint64_t{1}, owner_.arrived_);
    }

    // Guards against LOST: a planned stop closed a connection between two requests while the
    // answer before was still under way, and a request that arrived then reset it.
    void an_idle_connection_is_not_closed_while_its_answer_is_under_way()
    {
        send(request);
        start();
        owner_.last->answer(long_answer());
        turn();
        owner_.closing_ = true;
        owner_.last->close_if_idle();
        send(request);
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("whole", true, reads_whole_answer());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the next one is taken", std::uint64_t{2}, owner_.arrived_);
        owner_.last->answer(encode_status(204));
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
        owner_.last->answer(encode_status(204));
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
        owner_.last->answer(long_answer(size));
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
        owner_.last->answer(long_answer(endless_answer));
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
        owner_.last->answer(long_answer());
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
        std::make_shared<session>(acceptor_->accept(), owner, monotonic_now(), false)->start();
        turn();
    }

    void turn()
    {
        loop_.restart();
        loop_.run_for(milliseconds(20));
    }

    boost::asio::io_context loop_;
    fake_owner owner_;
    std::optional<tcp::acceptor> acceptor_;
    std::optional<tcp::socket> caller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_test);

} // namespace

} // namespace mulberryrudder::caller_http
