#include "session.hpp"

#include <mulberryrudder/kernel/graceful_close.hpp>
#include <mulberryrudder/kernel/socket_options.hpp>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;

/// Bytes that are taken from a socket at a time.
constexpr std::size_t read_size = 4096;
/// Bytes that are read behind an unanswered request: some dozens of requests without
/// bodies. What a caller sends beyond stays in its socket.
constexpr std::size_t most_read_ahead = 16'384;
/// Bytes that are read behind the last answer of a connection, so that they do not reset it.
constexpr byte_count most_discarded{262'144};

client_address address_of(boost::asio::ip::tcp::socket const& socket)
{
    client_address out;
    boost::system::error_code ec;
    auto const remote = socket.remote_endpoint(ec);
    if (!ec)
        parse_client_address(remote.address().to_string(), out);
    return out;
}

/// Returns the status for a request that could not be read, or nothing if the
/// connection is beyond an answer.
std::optional<std::uint16_t> status_of(boost::system::error_code ec)
{
    if (ec == http::error::header_limit)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    if (ec == boost::beast::error::timeout)
        return 408;
    if (ec.category() == http::make_error_code(http::error::bad_target).category() &&
        ec != http::error::end_of_stream && ec != http::error::partial_message)
        return 400;
    return std::nullopt;
}

} // namespace

session::session(boost::asio::ip::tcp::socket socket, session_owner& owner, instant now,
                 bool for_operators)
    : stream_(std::move(socket)), owner_(owner), client_(address_of(stream_.socket())),
      writing_(stream_.get_executor()), close_after_(now + owner.config().connection_lifetime),
      buf_(static_cast<std::size_t>(owner.config().most_header.count()) + 2 * most_read_ahead),
      held_(owner.unanswered_bytes()), for_operators_(for_operators)
{
    boost::system::error_code ec;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    stream_.socket().non_blocking(true, ec);
    kernel::limit_silence(stream_.socket(), owner.config().read_limit);
}

void session::read()
{
    idle_ = true;
    parser_.emplace();
    request_begin_ = parsed_;
    arrivals_.forget_before(request_begin_);
    parser_->header_limit(static_cast<std::uint32_t>(owner_.limits().most_header.count()));
    parser_->body_limit(static_cast<std::uint64_t>(owner_.limits().most_body.count()));
    if (buf_.size() != 0)
        return read_header();
    buf_.shrink_to_fit();
    // Until the first byte the connection is idle, which may take longer than a request.
    stream_.expires_after(owner_.limits().idle_limit);
    stream_.async_read_some(buf_.prepare(read_size),
                            [self = shared_from_this()](auto ec, std::size_t n)
                            {
                                self->buf_.commit(n);
                                self->note_arrival(0);
                                if (ec)
                                    return self->end();
                                self->read_header();
                            });
}

void session::read_header()
{
    idle_ = false;
    read_until_ = monotonic_now() + owner_.config().read_limit;
    stream_.expires_after(owner_.limits().header_limit);
    http::async_read_header(stream_, buf_, *parser_,
                            [self = shared_from_this()](auto ec, std::size_t n)
                            {
                                self->note_arrival(n);
                                if (ec || self->parser_->is_done())
                                    return self->request_read(ec);
                                self->read_body();
                            });
}

void session::read_body()
{
    stream_.expires_after(read_until_ - monotonic_now());
    http::async_read_some(stream_, buf_, *parser_,
                          [self = shared_from_this()](auto ec, std::size_t n)
                          {
                              self->note_arrival(n);
                              if (ec || self->parser_->is_done())
                                  return self->request_read(ec);
                              auto const held = self->parser_->get().body().size();
                              if (!self->held_.set(byte_count(static_cast<std::int64_t>(held))))
                                  return self->refuse_overloaded();
                              self->read_body();
                          });
}

void session::note_arrival(std::size_t parsed)
{
    parsed_ += byte_count(static_cast<std::int64_t>(parsed));
    arrivals_.note(parsed_ + byte_count(static_cast<std::int64_t>(buf_.size())), monotonic_now());
}

void session::refuse_overloaded()
{
    keep_alive_ = false;
    answer(owner_.refuse_overloaded());
}

void session::request_read(boost::system::error_code ec)
{
    if (ec)
        return refuse_unreadable(ec);
    keep_alive_ = parser_->keep_alive();
    head_only_ = parser_->get().method() == http::verb::head;
    stream_.expires_never();
    owner_.arrived(shared_from_this(), parser_->release(), arrivals_.of(request_begin_));
}

void session::refuse_unreadable(boost::system::error_code ec)
{
    auto const status = status_of(ec);
    if (!status)
        return end();
    keep_alive_ = false;
    answer(encode(bad_request{.status = *status,
                              .expected = "a request within the limits: " + ec.message()}));
}

void session::expect_answer(request_id id)
{
    unanswered_ = id;
    watch_for_close();
}

bool session::read_ahead()
{
    boost::system::error_code ec;
    while (!ec && buf_.size() < most_read_ahead)
        buf_.commit(stream_.socket().read_some(buf_.prepare(read_size), ec));
    note_arrival(0);
    return !ec || ec == boost::asio::error::would_block;
}

void session::watch_for_close()
{
    if (buf_.size() >= most_read_ahead)
        return owner_.unwatched(*unanswered_);
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this(), id = *unanswered_](auto ec)
                                {
                                    if (!ec && self->unanswered_ == id)
                                        self->watched(id);
                                });
}

void session::watched(request_id id)
{
    if (read_ahead())
        return watch_for_close();
    unanswered_.reset();
    owner_.caller_gone(id);
    end();
}

void session::answer(http_response&& what)
{
    if (ended_)
        return;
    unanswered_.reset();
    bool const old = monotonic_now() >= close_after_;
    bool const keep_open = keep_alive_ && !old && !owner_.closing();
    response_.emplace(std::move(what));
    response_->keep_alive(keep_open);
    if (head_only_)
    {
        response_->content_length(response_->body().size());
        response_->body().clear();
    }
    else
        response_->prepare_payload();
    serializer_.emplace(*response_);
    handed_over_ = confirmed_ = 0;
    stream_.expires_never();
    limit_silence();
    write(keep_open);
}

void session::limit_silence()
{
    writing_.expires_after(owner_.config().read_limit);
    writing_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (ec || !self->response_)
                return;
            auto const confirmed =
                self->handed_over_ - kernel::unconfirmed_bytes(self->stream_.socket()).count();
            if (confirmed <= self->confirmed_)
                return self->end();
            self->confirmed_ = confirmed;
            self->limit_silence();
        });
}

void session::write(bool keep_open)
{
    http::async_write_some(stream_, *serializer_,
                           [self = shared_from_this(), keep_open](auto ec, std::size_t n)
                           {
                               self->handed_over_ += static_cast<std::int64_t>(n);
                               if (ec || self->serializer_->is_done())
                                   return self->written(ec, keep_open);
                               self->write(keep_open);
                           });
}

void session::written(boost::system::error_code ec, bool keep_open)
{
    writing_.cancel();
    serializer_.reset();
    response_.reset();
    held_.reset();
    if (ec)
        return end();
    if (!keep_open)
        return close_behind_answer();
    read();
}

void session::close_behind_answer()
{
    auto const self = shared_from_this();
    kernel::close_gracefully({self, &stream_},
                             {.deadline = monotonic_now() + owner_.config().read_limit,
                              .most_discarded = most_discarded},
                             [self] { self->end(); });
}

void session::close_if_idle()
{
    // The answer before may still be under way. The next request closes the connection.
    if (idle_ && !kernel::has_bytes_under_way(stream_.socket()))
        end();
}

bool session::has_answer_under_way()
{
    return unanswered_ || response_ || kernel::unconfirmed_bytes(stream_.socket()) != byte_count(0);
}

void session::end()
{
    if (ended_)
        return;
    ended_ = true;
    boost::system::error_code ec;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    stream_.close();
    owner_.ended(shared_from_this());
}

} // namespace mulberryrudder::caller_http
