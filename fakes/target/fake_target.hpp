#ifndef MULBERRYRUDDER_FAKES_TARGET_FAKE_TARGET_HPP
#define MULBERRYRUDDER_FAKES_TARGET_FAKE_TARGET_HPP

#include "fake_settings.hpp"

#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/core/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <map>
#include <string>

namespace mulberryrudder::fakes
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_reply = boost::beast::http::response<boost::beast::http::string_body>;

/// What the announcer tells of one target; written by the service duty.
struct target_status
{
    std::atomic<std::int64_t> busy{0};
    std::atomic<bool> dead{false};
};

/// One stand-in for a target: slots, a service time, and the faults of its group.
/// It counts each run of an idempotency key, so that a test can find doubles.
///
/// Thread safety: the service duty's thread.
class fake_target
{
public:
    fake_target(boost::asio::io_context& loop, target_group const& like, std::uint32_t number,
                target_status& status, std::uint64_t seed);

    /// Opens the port; throws boost::system::system_error if it is taken.
    void listen();
    void start();

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(socket from);
    boost::asio::awaitable<http_reply> handle(http_request const& asked);
    http_reply ledger() const;
    http_reply answer(http_request const& asked, unsigned status) const;
    http_reply run(http_request const& asked);
    bool happens(per_mille share);
    bool faulty() const;
    milliseconds time_needed();
    boost::asio::awaitable<void> send(socket& to, http_reply reply);
    void die();

    boost::asio::io_context& loop_;
    target_group like_;
    boost::asio::ip::tcp::endpoint where_;
    boost::asio::ip::tcp::acceptor acceptor_;
    target_status& status_;
    random_source random_;
    instant started_;
    std::map<std::string, std::uint64_t> runs_; ///< By customer and idempotency key.
};

} // namespace mulberryrudder::fakes

#endif
