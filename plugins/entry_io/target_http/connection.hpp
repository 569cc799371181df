#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_CONNECTION_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_CONNECTION_HPP

#include "exchange_codec.hpp"
#include "target_settings.hpp"

#include <mulberryrudder/kernel/byte_budget.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace mulberryrudder::target_http
{

/// Why an exchange ended without a whole reply, and what may have run.
struct exchange_failed
{
    entry::attempt_failure cause;
    verdict run;
};

using exchange_end = std::variant<http_reply, exchange_failed>;

/// One connection to a target. It carries one request at a time; after anything
/// but a whole reply it is closed and never used again, so a late or crossed reply
/// can reach nobody.
///
/// Thread safety: the target duty's thread.
class connection final : public std::enable_shared_from_this<connection>
{
public:
    using ended = std::function<void(exchange_end)>;

    /// Precondition: `unread`, for the bytes of replies, outlives the connection.
    connection(boost::asio::io_context& loop, endpoint where, target_settings const& config,
               kernel::byte_budget& unread);

    /// Sends one request and calls `done` once, with the whole reply or the failure.
    /// Precondition: the connection is idle.
    void exchange(http_request what, instant deadline, ended done);

    /// Gives the running exchange up and closes the connection: `done` is called with
    /// `cancelled`.
    void cancel();

    /// Calls `closed` once the idle connection is closed by either side.
    void watch_idle(std::function<void()> const& closed);

    bool reusable() const { return reusable_; }
    void close();

private:
    using reply_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void connected(boost::system::error_code ec);
    void write();
    void read();
    void read_reply();
    void read_more();
    void reply_read(boost::system::error_code ec);
    void fail(boost::system::error_code ec, verdict run);
    void finish(exchange_end how);

    boost::beast::tcp_stream stream_;
    endpoint where_;
    target_settings const& config_;
    boost::beast::flat_buffer buf_;
    kernel::byte_charge unread_;
    http_request request_;
    std::optional<reply_parser> parser_;
    instant deadline_;
    ended done_;
    bool open_ = false;
    bool reusable_ = false;
    bool cancelled_ = false;
    int interim_replies_ = 0;      ///< Before the answer to the current request.
    std::uint64_t idle_epoch_ = 0; ///< Numbers idle times, so that an old watch is told apart.
};

} // namespace mulberryrudder::target_http

#endif
