#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_SESSION_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_SESSION_HPP

#include "answer_codec.hpp"
#include "arrival_times.hpp"
#include "caller_settings.hpp"
#include "exchange_queue.hpp"

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

    /// Returns a number for the next request.
    virtual request_id next_id() = 0;
    /// Takes request `id` in, whose first byte was read at `first_byte`; the owner answers through
    /// session::answer, at once or later.
    virtual void arrived(std::shared_ptr<session> const& from, request_id id, http_request&& what,
                         instant first_byte) = 0;
    /// The connection ended while the answer to request `id` was expected.
    virtual void caller_gone(request_id id) = 0;
    /// The caller sent more ahead than is read; `id` is a request without an answer.
    virtual void unwatched(request_id id) = 0;
    virtual void ended(std::shared_ptr<session> const& it) = 0;
    /// Returns the refusal of a request that this instance has no room for.
    virtual http_response refuse_overloaded() = 0;
    /// For the bytes of requests that are not answered.
    virtual kernel::byte_budget& unanswered_bytes() = 0;
    /// For the bytes of answers that wait for earlier ones of their connection.
    virtual kernel::byte_budget& waiting_bytes() = 0;
    virtual caller_settings const& config() const = 0;
    /// The limits that hold for the next request.
    virtual caller_limits const& limits() const = 0;
    /// Whether connections are to be closed behind their current answer.
    virtual bool closing() const = 0;
};

/// One connection of a caller or a target. Safe requests that are sent ahead are taken at once, up
/// to the limits; any other request is alone with the decisions. Answers are written in the order
/// of the requests (RFC 9112, section 9.3.2).
///
/// The answer that closes the connection is always the last one of those that were taken: once the
/// connection is to close, no further request is taken. The caller's end is seen while answers are
/// expected, also behind further requests.
///
/// Thread safety: the caller duty's thread.
class session final : public std::enable_shared_from_this<session>
{
public:
    /// `for_operators` tells that the connection was made to an address of operators.
    session(boost::asio::ip::tcp::socket socket, session_owner& owner, connection_id id,
            instant now, bool for_operators);

    void start() { read_next(); }

    /// Answers a request; ignored if its connection has ended.
    void answer(request_id id, http_response&& what);

    /// Notes that a request is answered later, so that the caller's leaving is told.
    void expect_answer(request_id id) { exchanges_.expect(id); }

    /// Reads what came behind the current request; returns whether the connection is still
    /// open behind it.
    bool read_ahead();

    /// Ends the connection, whose caller has closed it, behind the answers that are ready.
    void caller_left();

    /// Returns whether the caller has not confirmed the whole of its newest answer.
    bool has_answer_under_way();

    /// Closes the connection. Requests without an answer are told as those of a caller that left.
    void end();

    /// Closes the connection if it is between two requests and nothing is under way on it.
    void close_if_idle();

    connection_id id() const { return id_; }
    client_address const& client() const { return client_; }
    bool for_operators() const { return for_operators_; }

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // Reading while no request is without an answer: operations with time limits.
    void read_next();
    void read_header();
    void read_body();
    void request_read(boost::system::error_code ec);

    // Reading while there are such requests: whatever the socket holds, without waiting.
    void watch();
    void watch_state();
    void readable();
    void take_more();
    bool may_take_more() const;
    bool parse_buffered();

    void begin_request();
    void take();
    void refuse(http_response&& what);
    void refuse_unreadable(boost::system::error_code ec);
    bool charge_body();
    /// Takes note of the bytes that were read, of which the parser took `parsed`.
    void note_arrival(std::size_t parsed);

    void write_next();
    void write();
    void written(boost::system::error_code ec);
    /// Ends the connection once the caller has confirmed no byte of an answer for the limit. A
    /// large answer may take longer.
    void limit_silence();
    std::int64_t confirmed_bytes();
    void close_behind_answer();

    boost::beast::tcp_stream stream_;
    session_owner& owner_;
    connection_id id_;
    client_address client_;
    boost::asio::steady_timer silence_check_;
    boost::asio::steady_timer state_check_;
    std::int64_t handed_over_ = 0; ///< Bytes of answers that the kernel took.
    std::int64_t confirmed_ = 0;   ///< Bytes of answers that the caller had at the last check.
    instant close_after_;          ///< When the connection has lived long enough.
    instant read_until_;           ///< When the current request must have come whole.
    boost::beast::flat_buffer buf_;
    byte_count parsed_{0};        ///< Bytes of the connection that are not in the buffer any more.
    byte_count request_begin_{0}; ///< The position of the current request's first byte.
    arrival_times arrivals_;
    std::optional<parser> parser_; ///< Of the request that is being read.
    kernel::byte_charge body_;     ///< Of the request that is being read.
    exchange_queue exchanges_;
    std::optional<boost::beast::http::response_serializer<http_response::body_type>> serializer_;
    bool for_operators_ = false;
    bool last_taken_ = false; ///< No further request is taken; the last answer closes.
    bool idle_ = true;
    bool watching_ = false;
    bool reading_stopped_ = false; ///< The caller sent more ahead than is read.
    bool left_ = false;            ///< The caller has closed its side.
    bool ended_ = false;
};

} // namespace mulberryrudder::caller_http

#endif
