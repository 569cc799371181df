#include "session.hpp"

#include <mulberryrudder/kernel/graceful_close.hpp>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mulberryrudder::operator_http
{

namespace
{

namespace http = boost::beast::http;

/// Bytes that are read behind an answer, so that they do not reset the connection.
constexpr byte_count most_discarded{262'144};

/// Returns the status for a request that could not be read; 0 if the connection
/// is beyond an answer.
unsigned status_of(boost::system::error_code ec)
{
    if (ec == http::error::header_limit)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    if (ec == boost::beast::error::timeout || ec == http::error::end_of_stream ||
        ec == http::error::partial_message)
        return 0;
    bool const is_http = ec.category() == http::make_error_code(http::error::bad_target).category();
    return is_http ? 400 : 0;
}

} // namespace

session::session(boost::asio::ip::tcp::socket socket, session_owner& owner)
    : stream_(std::move(socket)), owner_(owner), answer_timer_(stream_.get_executor())
{
    parser_.header_limit(static_cast<std::uint32_t>(owner.config().most_header.count()));
    parser_.body_limit(static_cast<std::uint64_t>(owner.config().most_body.count()));
}

void session::start()
{
    stream_.expires_after(owner_.config().read_limit);
    http::async_read(stream_, buf_, parser_,
                     [self = shared_from_this()](auto ec, std::size_t) { self->request_read(ec); });
}

void session::request_read(boost::system::error_code ec)
{
    if (!ec)
    {
        stream_.expires_never();
        wait_for_answer();
        return owner_.arrived(shared_from_this(), parser_.release());
    }
    auto const status = status_of(ec);
    owner_.unreadable(status);
    if (status == 0)
        return end();
    answer(http_response(static_cast<http::status>(status), 11));
}

void session::wait_for_answer()
{
    answer_timer_.expires_after(owner_.config().answer_limit);
    answer_timer_.async_wait(
        [self = shared_from_this()](auto ec)
        {
            if (!ec && !self->answered_)
                self->owner_.overdue(self);
        });
}

void session::answer(http_response&& what)
{
    if (answered_)
        return;
    answered_ = true;
    answer_timer_.cancel();
    response_ = std::move(what);
    response_.keep_alive(false);
    response_.prepare_payload();
    stream_.expires_after(owner_.config().read_limit);
    http::async_write(stream_, response_,
                      [self = shared_from_this()](auto ec, std::size_t) { self->written(ec); });
}

void session::written(boost::system::error_code ec)
{
    if (ec)
        return end();
    auto const self = shared_from_this();
    kernel::close_gracefully({self, &stream_},
                             {.deadline = monotonic_now() + owner_.config().read_limit,
                              .most_discarded = most_discarded},
                             [self] { self->end(); });
}

void session::end()
{
    boost::system::error_code ec;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    stream_.close();
    owner_.ended(shared_from_this());
}

} // namespace mulberryrudder::operator_http
