#include "client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace mulberryrudder::ctl
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::uint64_t reply_body_most = 64UL * 1024 * 1024;

/// Runs one request on a connection of its own, step by step.
class exchange
{
public:
    exchange(endpoint const& where, http_question const& what, instant deadline)
        : where_(boost::asio::ip::make_address(where.address), where.port),
          request_(http::string_to_verb(what.method), what.path, 11), stream_(loop_)
    {
        request_.set(http::field::host, to_string(where));
        request_.set(http::field::user_agent, "mulberryctl");
        request_.body() = what.body;
        request_.prepare_payload();
        parser_.body_limit(reply_body_most);
        stream_.expires_after(std::max(deadline - monotonic_now(), span(1)));
    }

    std::optional<http_reply> run()
    {
        stream_.async_connect(where_, [this](auto ec) { connected(ec); });
        loop_.run();
        return std::move(reply_);
    }

private:
    void connected(boost::system::error_code ec)
    {
        if (!ec)
            http::async_write(stream_, request_,
                              [this](auto failed, std::size_t) { written(failed); });
    }

    /// Reads on after an error too: a server may refuse a request before it is sent whole.
    void written(boost::system::error_code)
    {
        http::async_read(stream_, buf_, parser_,
                         [this](auto failed, std::size_t) { answered(failed); });
    }

    void answered(boost::system::error_code ec)
    {
        if (!ec)
            reply_ = http_reply{parser_.get().result_int(), std::move(parser_.get().body())};
    }

    boost::asio::io_context loop_{1};
    tcp::endpoint where_;
    http::request<http::string_body> request_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buf_;
    http::response_parser<http::string_body> parser_;
    std::optional<http_reply> reply_;
};

} // namespace

std::optional<http_reply> ask(endpoint const& where, http_question const& what, instant deadline)
{
    return exchange(where, what, deadline).run();
}

} // namespace mulberryrudder::ctl
