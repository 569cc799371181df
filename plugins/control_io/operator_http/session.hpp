#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_SESSION_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_SESSION_HPP

#include "operator_settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace mulberryrudder::operator_http
{

class session;

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// What a session needs of the duty it belongs to.
class session_owner
{
public:
    virtual ~session_owner() = default;

    /// Takes a request in; the owner answers through session::answer, at once or later.
    virtual void arrived(std::shared_ptr<session> const& from, http_request&& what) = 0;
    /// No answer came within the limit; the owner answers now.
    virtual void overdue(std::shared_ptr<session> const& it) = 0;
    /// The request could not be read; `status` tells why, 0 if nobody is left to tell.
    virtual void unreadable(unsigned status) = 0;
    virtual void ended(std::shared_ptr<session> const& it) = 0;
    virtual operator_settings const& config() const = 0;
};

/// One connection of an operator, for one request and its answer.
///
/// Thread safety: the operator duty's thread.
class session final : public std::enable_shared_from_this<session>
{
public:
    session(boost::asio::ip::tcp::socket socket, session_owner& owner);

    /// Reads the request within the time and size limits.
    void start();

    /// Writes the answer and closes the connection. A second answer is dropped.
    void answer(http_response&& what);

private:
    void request_read(boost::system::error_code ec);
    void wait_for_answer();
    void written(boost::system::error_code ec);
    void end();

    boost::beast::tcp_stream stream_;
    session_owner& owner_;
    boost::asio::steady_timer answer_timer_;
    boost::beast::flat_buffer buf_;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
    http_response response_;
    bool answered_ = false;
};

} // namespace mulberryrudder::operator_http

#endif
