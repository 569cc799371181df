#include "plugins/entry_io/target_http/connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>
#include <unistd.h>

#include <fstream>
#include <iostream>

namespace mulberryrudder::target_http
{

namespace
{

using boost::asio::ip::tcp;

/// One connection to a target that the test plays, with a loop that the test turns.
class connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_test);
    CPPUNIT_TEST(a_whole_reply_is_passed_on);
    CPPUNIT_TEST(a_cancellation_while_the_reply_is_awaited_closes_the_connection);
    CPPUNIT_TEST(a_cancellation_behind_the_request_closes_the_connection);
    CPPUNIT_TEST(a_cancellation_while_connecting_sends_nothing);
    CPPUNIT_TEST(a_cancelled_request_does_not_arrive_later);
    CPPUNIT_TEST(a_reply_without_a_valid_status_is_malformed);
    CPPUNIT_TEST(interim_replies_are_not_taken_for_the_answer);
    CPPUNIT_TEST(interim_replies_without_end_are_given_up);
    CPPUNIT_TEST(a_head_without_end_is_given_up);
    CPPUNIT_TEST(a_line_without_end_in_a_body_is_given_up);
    CPPUNIT_TEST(a_body_without_end_is_given_up_at_its_limit);
    CPPUNIT_TEST(bodies_without_end_share_one_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        acceptor_.emplace(loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        way_ = std::make_shared<connection>(
            loop_, endpoint{"127.0.0.1", acceptor_->local_endpoint().port()}, config_, unread_);
        ended_.reset();
    }

    void a_whole_reply_is_passed_on()
    {
        ask();
        serve();
        CPPUNIT_ASSERT(std::holds_alternative<http_reply>(ended_.value()));
        CPPUNIT_ASSERT(way_->reusable());
    }

    void a_cancellation_while_the_reply_is_awaited_closes_the_connection()
    {
        ask();
        way_->cancel();
        expect_cancelled();
    }

    // Guards against GONE: a cancellation that came before the request's last byte was
    // confirmed was lost, and the target worked on until the deadline.
    void a_cancellation_behind_the_request_closes_the_connection()
    {
        ask();
        serve();
        ended_.reset();
        exchange();
        way_->cancel();
        expect_cancelled();
    }

    void a_cancellation_while_connecting_sends_nothing()
    {
        exchange();
        way_->cancel();
        expect_cancelled();
        CPPUNIT_ASSERT(std::get<exchange_failed>(*ended_).run == verdict::not_run);
    }

    // Guards against GONE: what the kernel held of a cancelled request was delivered after the
    // close, once the link to the target or the target itself took it.
    void a_cancelled_request_does_not_arrive_later()
    {
        constexpr std::size_t size = 1'000'000;
        acceptor_->set_option(boost::asio::socket_base::receive_buffer_size(4096));
        http_request what(boost::beast::http::verb::post, "/r/", 11);
        what.body() = std::string(size, 'x');
        what.prepare_payload();
        way_->exchange(std::move(what), monotonic_now() + seconds(30),
                       [this](exchange_end how) { ended_ = std::move(how); });
        target_.emplace(acceptor_->accept());
        turn();
        way_->cancel();
        expect_cancelled();
        std::string got;
        boost::system::error_code ec;
        boost::asio::read(*target_, boost::asio::dynamic_buffer(got), ec);
        CPPUNIT_ASSERT_EQUAL(
            boost::system::error_code(boost::asio::error::connection_reset).message(),
            ec.message());
        CPPUNIT_ASSERT_LESS(size, got.size());
    }

    // Guards against MIXED: an answer with the status 000 was passed on to the caller.
    void a_reply_without_a_valid_status_is_malformed()
    {
        for (auto const* const status : {"000", "001", "099", "101", "600", "999"})
        {
            setUp();
            ask();
            serve("HTTP/1.1 " + std::string(status) + " Trouble\r\n" + ok_body);
            CPPUNIT_ASSERT_MESSAGE(status, ended_.has_value());
            auto const* const how = std::get_if<exchange_failed>(&*ended_);
            CPPUNIT_ASSERT_MESSAGE(status, how != nullptr);
            CPPUNIT_ASSERT_MESSAGE(status, how->cause == entry::attempt_failure::malformed);
            CPPUNIT_ASSERT_MESSAGE(status, how->run == verdict::may_have_run);
            CPPUNIT_ASSERT_MESSAGE(status, !way_->reusable());
        }
    }

    // Guards against MIXED: an interim reply (RFC 9110, section 15.2) was passed on as the answer.
    void interim_replies_are_not_taken_for_the_answer()
    {
        ask();
        serve("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
        CPPUNIT_ASSERT(!ended_.has_value());
        boost::asio::write(*target_, boost::asio::buffer("HTTP/1.1 200 OK\r\n" + ok_body));
        turn();
        CPPUNIT_ASSERT_EQUAL(200U, std::get<http_reply>(ended_.value()).result_int());
        CPPUNIT_ASSERT(way_->reusable());
    }

    void interim_replies_without_end_are_given_up()
    {
        ask();
        std::string many;
        for (int n = 0; n != 1000; ++n)
            many += "HTTP/1.1 100 Continue\r\n\r\n";
        serve(many);
        CPPUNIT_ASSERT(ended_.has_value());
        CPPUNIT_ASSERT(std::get<exchange_failed>(*ended_).cause ==
                       entry::attempt_failure::malformed);
    }

    /// Pattern: a target in trouble sends bytes that are no answer, until it is closed.
    void a_head_without_end_is_given_up()
    {
        ask();
        pour("HTTP/1.1 200 OK\r\nX: ");
        expect_malformed(config_.most_header.count());
    }

    void a_line_without_end_in_a_body_is_given_up()
    {
        ask();
        pour("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;");
        expect_malformed(config_.most_header.count());
    }

    void a_body_without_end_is_given_up_at_its_limit()
    {
        ask();
        pour("HTTP/1.1 200 OK\r\n\r\n");
        expect_malformed(config_.most_body.count());
    }

    /// Several targets at once: each body is within its own limit for long, and together they
    /// would fill the memory.
    void bodies_without_end_share_one_limit()
    {
        constexpr std::size_t targets = 16;
        auto const allocated_before = allocated();
        auto const resident_before = resident();
        std::vector<std::shared_ptr<connection>> ways;
        std::vector<tcp::socket> ends;
        std::size_t given_up = 0;
        for (std::size_t n = 0; n != targets; ++n)
        {
            ways.push_back(std::make_shared<connection>(
                loop_, endpoint{"127.0.0.1", acceptor_->local_endpoint().port()}, config_,
                unread_));
            ways.back()->exchange(http_request(boost::beast::http::verb::get, "/r/", 11),
                                  monotonic_now() + seconds(30),
                                  [&](exchange_end const&) { ++given_up; });
            ends.push_back(acceptor_->accept());
            ends.back().non_blocking(true);
        }
        std::int64_t most = 0;
        std::int64_t cost = 0;
        for (int n = 0; n != 1000 && given_up + 2 < targets; ++n)
        {
            for (auto& it : ends)
                send_some(it, n == 0 ? "HTTP/1.1 200 OK\r\n\r\n" : "");
            loop_.restart();
            loop_.run_for(milliseconds(1));
            most = std::max(most, unread_.used().count());
            cost = std::max(cost, allocated() - allocated_before);
        }
        CPPUNIT_ASSERT_MESSAGE("most are given up", given_up + 2 >= targets);
        CPPUNIT_ASSERT_LESSEQUAL(most_unread.count(), most);
        std::cout << " " << most / 1024 << " KiB read, " << cost / 1024 << " KiB allocated, "
                  << (resident() - resident_before) / 1024 << " KiB occupied";
        // A growing buffer holds up to twice its bytes, and the old ones while it moves.
        CPPUNIT_ASSERT_LESSEQUAL(4 * most_unread.count(), cost);
        for (auto const& it : ways)
            it->cancel();
        turn();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("all is given back", std::int64_t{0}, unread_.used().count());
    }

private:
    static constexpr byte_count most_unread{8'388'608};
    static inline std::string const ok_body = "Content-Length: 2\r\n\r\nok";

    /// Sends what the socket takes of a text and of bytes behind it.
    static std::size_t send_some(tcp::socket& to, std::string const& text)
    {
        static std::string const bytes(65'536, 'x');
        boost::system::error_code ec;
        to.write_some(boost::asio::buffer(text), ec);
        return ec ? 0 : to.write_some(boost::asio::buffer(bytes), ec);
    }

    /// Sends a text and then bytes until the exchange has ended.
    void pour(std::string const& text)
    {
        target_->non_blocking(true);
        sent_ = static_cast<std::int64_t>(send_some(*target_, text));
        for (int n = 0; n != 10'000 && !ended_; ++n)
        {
            sent_ += static_cast<std::int64_t>(send_some(*target_, ""));
            loop_.restart();
            loop_.run_for(milliseconds(1));
        }
    }

    /// Expects that an exchange was given up soon behind a number of bytes; what the sockets
    /// hold comes on top.
    void expect_malformed(std::int64_t limit)
    {
        CPPUNIT_ASSERT_MESSAGE("given up", ended_.has_value());
        auto const& how = std::get<exchange_failed>(*ended_);
        CPPUNIT_ASSERT(how.cause == entry::attempt_failure::malformed);
        CPPUNIT_ASSERT(how.run == verdict::may_have_run);
        CPPUNIT_ASSERT(!way_->reusable());
        CPPUNIT_ASSERT_LESS(limit + 16'777'216, sent_);
    }

    /// Returns the bytes that are allocated; 0 under a sanitizer, which allocates by itself.
    static std::int64_t allocated()
    {
        auto const all = mallinfo2();
        return static_cast<std::int64_t>(all.uordblks + all.hblkhd);
    }

    /// Returns the bytes of memory that this process occupies.
    static std::int64_t resident()
    {
        std::ifstream from("/proc/self/statm");
        std::int64_t size = 0;
        std::int64_t out = 0;
        from >> size >> out;
        return out * sysconf(_SC_PAGESIZE);
    }

    void exchange()
    {
        http_request what(boost::beast::http::verb::get, "/r/", 11);
        way_->exchange(std::move(what), monotonic_now() + seconds(30),
                       [this](exchange_end how) { ended_ = std::move(how); });
    }

    /// Sends a request on a new connection; the test has the other end.
    void ask()
    {
        exchange();
        target_.emplace(acceptor_->accept());
        turn();
    }

    /// Answers the request that came.
    void serve(std::string const& reply = "HTTP/1.1 200 OK\r\n" + ok_body)
    {
        std::string asked;
        boost::asio::read_until(*target_, boost::asio::dynamic_buffer(asked), "\r\n\r\n");
        boost::asio::write(*target_, boost::asio::buffer(reply));
        turn();
    }

    void expect_cancelled()
    {
        turn();
        CPPUNIT_ASSERT_MESSAGE("ended at once", ended_.has_value());
        CPPUNIT_ASSERT(std::get<exchange_failed>(*ended_).cause ==
                       entry::attempt_failure::cancelled);
        CPPUNIT_ASSERT(!way_->reusable());
    }

    void turn()
    {
        loop_.restart();
        loop_.run_for(milliseconds(50));
    }

    boost::asio::io_context loop_;
    target_settings config_{.lenient = true, .most_body = byte_count(4'194'304)};
    kernel::byte_budget unread_{most_unread};
    std::int64_t sent_ = 0;
    std::optional<tcp::acceptor> acceptor_;
    std::optional<tcp::socket> target_;
    std::shared_ptr<connection> way_;
    std::optional<exchange_end> ended_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_test);

} // namespace

} // namespace mulberryrudder::target_http
