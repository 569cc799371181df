#include "http_client.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mulberryrudder::fakes
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;

/// An idle connection that is readable was closed by the other side.
bool was_closed(boost::beast::tcp_stream& stream)
{
    boost::system::error_code ec;
    stream.socket().non_blocking(true, ec);
    char c = 0;
    stream.socket().receive(asio::buffer(&c, 1), asio::socket_base::message_peek, ec);
    return ec != asio::error::would_block;
}

} // namespace

http_client::connection_ptr http_client::take_idle(endpoint const& to)
{
    auto& idle = idle_[to];
    while (!idle.empty())
    {
        auto it = idle.back();
        idle.pop_back();
        if (!was_closed(it->stream))
            return it;
    }
    return nullptr;
}

asio::awaitable<http_client::connection_ptr> http_client::open(endpoint to, instant deadline)
{
    auto const it = std::make_shared<connection>(co_await asio::this_coro::executor);
    boost::system::error_code ec;
    it->stream.expires_at(on_steady_clock(deadline));
    asio::ip::tcp::endpoint const where(asio::ip::make_address(to.address), to.port);
    co_await it->stream.async_connect(where, asio::redirect_error(use_awaitable, ec));
    if (ec)
        co_return nullptr;
    it->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    co_return it;
}

asio::awaitable<exchange_result> http_client::send(endpoint to, http_request what, instant deadline)
{
    auto way = take_idle(to);
    if (!way)
        way = co_await open(to, deadline);
    if (!way)
        co_return exchange_result{};
    exchange_result out{.connected = true, .reply = std::nullopt};
    boost::system::error_code ec;
    way->stream.expires_at(on_steady_clock(deadline));
    what.set(http::field::host, to_string(to));
    what.prepare_payload();
    co_await http::async_write(way->stream, what, asio::redirect_error(use_awaitable, ec));
    http_reply reply;
    if (!ec)
        co_await http::async_read(way->stream, way->buf, reply,
                                  asio::redirect_error(use_awaitable, ec));
    if (ec)
        co_return out;
    if (reply.keep_alive())
        idle_[to].push_back(way);
    out.reply = std::move(reply);
    co_return out;
}

} // namespace mulberryrudder::fakes
