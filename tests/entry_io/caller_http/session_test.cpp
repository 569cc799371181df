#include "plugins/entry_io/caller_http/session.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::caller_http
{

namespace
{

using boost::asio::ip::tcp;

/// Passes requests on as the caller duty does, and counts them.
class fake_owner final : public session_owner
{
public:
    void arrived(std::shared_ptr<session> const& from, http_request&&) override
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
    bool closing() const override { return false; }
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
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        acceptor_.emplace(loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        caller_.emplace(loop_);
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

private:
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
