#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_SESSION_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_SESSION_HPP

#include "answer_codec.hpp"
#include "arrival_times.hpp"
#include "caller_settings.hpp"

#include <mulberryrudder/core/client_address.hpp>
#include <mulberryrudder/kernel/byte_budget.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <memory>
#include <optional>

namespace mulberryrudder::caller_http
{

class session;

/// What a session needs of the duty it belongs to.
class session_owner
{
public:
    virtual ~session_owner() = default;

    /// Takes a request in, whose first byte was read at `first_byte`; the owner answers through
    /// session::answer, at once or later.
    virtual void arrived(std::shared_ptr<session> const& from, http_request&& what,
                         instant first_byte) = 0;
    /// The caller closed its connection while request `id` was unanswered.
    virtual void caller_gone(request_id id) = 0;
    /// The caller sent more ahead than is read: the end of its connection will not be seen
    /// while `id` is unanswered.
    virtual void unwatched(request_id id) = 0;
    virtual void ended(std::shared_ptr<session> const& it) = 0;
    /// Returns the refusal of a request that this instance has no room for.
    virtual http_response refuse_overloaded() = 0;
    /// For the bytes of requests that are not answered.
    virtual kernel::byte_budget& unanswered_bytes() = 0;
    virtual caller_settings const& config() const = 0;
    /// The limits that hold for the next request.
    virtual caller_limits const& limits() const = 0;
    /// Whether connections are to be closed behind their current answer.
    virtual bool closing() const = 0;
};

/// One connection of a caller or a target. It takes one request at a time, within
/// the limits. While one is unanswered it reads ahead, so that the connection's end is
/// seen behind further requests; these are taken one by one after the answers.
///
/// Thread safety: the caller duty's thread.
class session final : public std::enable_shared_from_this<session>
{
public:
    /// `for_operators` tells that the connection was made to an address of operators.
    session(boost::asio::ip::tcp::socket socket, session_owner& owner, instant now,
            bool for_operators);

    void start() { read(); }

    /// Answers the current request.
    void answer(http_response&& what);

    /// Reads what came behind the current request; returns whether the connection is still
    /// open behind it.
    bool read_ahead();

    /// Notes which request is unanswered, so that the caller's leaving can be told.
    void expect_answer(request_id id);

    /// Returns whether the caller has not confirmed the whole of its newest answer.
    bool has_answer_under_way();

    /// Closes the connection without an answer.
    void end();

    /// Closes the connection if it is between two requests and nothing is under way on it.
    void close_if_idle();

    client_address const& client() const { return client_; }
    bool for_operators() const { return for_operators_; }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void read_header();
    void read_body();
    void refuse_overloaded();
    void request_read(boost::system::error_code ec);
    void refuse_unreadable(boost::system::error_code ec);
    /// Ends the connection once the caller has confirmed no byte of the answer for the limit. A
    /// large answer may take longer.
    void limit_silence();
    void write(bool keep_open);
    void written(boost::system::error_code ec, bool keep_open);
    void close_behind_answer();
    void watch_for_close();
    void watched(request_id id);
    /// Takes note of the bytes that were read, of which the parser took `parsed`.
    void note_arrival(std::size_t parsed);

    boost::beast::tcp_stream stream_;
    session_owner& owner_;
    client_address client_;
    boost::asio::steady_timer writing_;
    std::int64_t handed_over_ = 0; ///< Bytes of the answer that the kernel took.
    std::int64_t confirmed_ = 0;   ///< Bytes of the answer that the caller had at the last check.
    instant close_after_;          ///< When the connection has lived long enough.
    instant read_until_;           ///< When the current request must have come whole.
    boost::beast::flat_buffer buf_;
    byte_count parsed_{0};        ///< Bytes of the connection that are not in the buffer any more.
    byte_count request_begin_{0}; ///< The position of the current request's first byte.
    arrival_times arrivals_;
    kernel::byte_charge held_;
    std::optional<parser> parser_;
    std::optional<http_response> response_;
    std::optional<boost::beast::http::response_serializer<http_response::body_type>> serializer_;
    std::optional<request_id> unanswered_;
    bool for_operators_ = false;
    bool keep_alive_ = true;
    bool head_only_ = false;
    bool idle_ = true;
    bool ended_ = false;
};

} // namespace mulberryrudder::caller_http

#endif
