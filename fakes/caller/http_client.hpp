#ifndef MULBERRYRUDDER_FAKES_CALLER_HTTP_CLIENT_HPP
#define MULBERRYRUDDER_FAKES_CALLER_HTTP_CLIENT_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mulberryrudder::fakes
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_reply = boost::beast::http::response<boost::beast::http::string_body>;

/// How one exchange went.
struct exchange_result
{
    bool connected = false; ///< False: nothing was sent.
    std::optional<http_reply> reply;
};

/// Keeps connections to entry instances and sends one request at a time on each.
///
/// Thread safety: the load duty's thread.
class http_client
{
public:
    /// Sends a request; gives up at the deadline.
    boost::asio::awaitable<exchange_result> send(endpoint to, http_request what, instant deadline);

private:
    struct connection
    {
        explicit connection(boost::asio::any_io_executor const& executor) : stream(executor) {}

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buf;
    };
    using connection_ptr = std::shared_ptr<connection>;

    boost::asio::awaitable<connection_ptr> open(endpoint to, instant deadline);
    connection_ptr take_idle(endpoint const& to);

    std::map<endpoint, std::vector<connection_ptr>> idle_;
};

} // namespace mulberryrudder::fakes

#endif
