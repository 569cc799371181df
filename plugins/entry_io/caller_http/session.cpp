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
/// How often a connection that is not read is checked for its caller's leaving.
constexpr milliseconds state_check_interval{50};

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

/// Returns whether a method is safe (RFC 9110, section 9.2.1).
bool is_safe(http::verb method)
{
    return method == http::verb::get || method == http::verb::head;
}

} // namespace

session::session(boost::asio::ip::tcp::socket socket, session_owner& owner, connection_id id,
                 instant now, bool for_operators)
    : stream_(std::move(socket)), owner_(owner), id_(id), client_(address_of(stream_.socket())),
      silence_check_(stream_.get_executor()), state_check_(stream_.get_executor()),
      close_after_(now + owner.config().connection_lifetime),
      buf_(static_cast<std::size_t>(owner.config().most_header.count()) + 2 * most_read_ahead),
      body_(owner.unanswered_bytes()),
      exchanges_({.most_pipelined = owner.config().most_pipelined,
                  .most_waiting_answers = owner.config().most_waiting_answers},
                 {.requests = owner.unanswered_bytes(), .answers = owner.waiting_bytes()}),
      for_operators_(for_operators)
{
    boost::system::error_code ec;
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    stream_.socket().non_blocking(true, ec);
    kernel::limit_silence(stream_.socket(), owner.config().read_limit);
}

void session::begin_request()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(owner_.limits().most_header.count()));
    parser_->body_limit(static_cast<std::uint64_t>(owner_.limits().most_body.count()));
    request_begin_ = parsed_;
    arrivals_.forget_before(request_begin_);
}

void session::read_next()
{
    if (!parser_)
        begin_request();
    if (parser_->is_done())
        return request_read({});
    if (parser_->is_header_done())
    {
        read_until_ = monotonic_now() + owner_.config().read_limit;
        return read_body();
    }
    if (parser_->got_some() || buf_.size() != 0)
        return read_header();
    idle_ = true;
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
                              if (!self->charge_body())
                                  return self->refuse(self->owner_.refuse_overloaded());
                              self->read_body();
                          });
}

void session::request_read(boost::system::error_code ec)
{
    if (ec)
        return refuse_unreadable(ec);
    stream_.expires_never();
    take();
    take_more();
}

bool session::charge_body()
{
    return body_.set(byte_count(static_cast<std::int64_t>(parser_->get().body().size())));
}

void session::note_arrival(std::size_t parsed)
{
    parsed_ += byte_count(static_cast<std::int64_t>(parsed));
    arrivals_.note(parsed_ + byte_count(static_cast<std::int64_t>(buf_.size())), monotonic_now());
}

void session::take()
{
    idle_ = false;
    last_taken_ = !parser_->keep_alive();
    auto const first_byte = arrivals_.of(request_begin_);
    arrivals_.forget_before(parsed_);
    auto const id = owner_.next_id();
    auto what = parser_->release();
    parser_.reset();
    body_.reset();
    exchanges_.add({.id = id,
                    .size = parsed_ - request_begin_,
                    .is_safe = is_safe(what.method()),
                    .head_only = what.method() == http::verb::head});
    owner_.arrived(shared_from_this(), id, std::move(what), first_byte);
}

void session::refuse(http_response&& what)
{
    auto const id = owner_.next_id();
    bool const head_only = parser_->is_header_done() && parser_->get().method() == http::verb::head;
    parser_.reset();
    body_.reset();
    last_taken_ = true;
    exchanges_.add({.id = id, .head_only = head_only});
    answer(id, std::move(what));
}

void session::refuse_unreadable(boost::system::error_code ec)
{
    auto const status = status_of(ec);
    if (!status)
        return end();
    refuse(encode(bad_request{.status = *status,
                              .expected = "a request within the limits: " + ec.message()}));
}

bool session::may_take_more() const
{
    return !ended_ && !left_ && !last_taken_ && !exchanges_.is_empty() && exchanges_.has_room() &&
           !owner_.closing() && monotonic_now() < close_after_;
}

void session::take_more()
{
    while (may_take_more() && parse_buffered() && is_safe(parser_->get().method()))
        take();
    watch();
}

/// Parses what has been read; returns whether that is a whole request.
bool session::parse_buffered()
{
    if (!parser_)
        begin_request();
    while (!parser_->is_done() && buf_.size() != 0)
    {
        // Its body is read when its turn comes, within the limit for that.
        if (parser_->is_header_done() && !is_safe(parser_->get().method()))
            return false;
        boost::system::error_code ec;
        auto const n = parser_->put(buf_.data(), ec);
        buf_.consume(n);
        note_arrival(n);
        if (ec == http::error::need_more)
            return false;
        if (ec)
        {
            refuse_unreadable(ec);
            return false;
        }
        if (!charge_body())
        {
            refuse(owner_.refuse_overloaded());
            return false;
        }
    }
    return parser_->is_done();
}

bool session::read_ahead()
{
    boost::system::error_code ec;
    while (!ec && buf_.size() < most_read_ahead)
        buf_.commit(stream_.socket().read_some(buf_.prepare(read_size), ec));
    note_arrival(0);
    return !ec || ec == boost::asio::error::would_block;
}

void session::watch()
{
    if (ended_ || left_ || exchanges_.is_empty())
        return;
    reading_stopped_ = buf_.size() >= most_read_ahead;
    if (!reading_stopped_)
        state_check_.cancel();
    if (watching_)
        return;
    watching_ = true;
    if (reading_stopped_)
    {
        if (auto const id = exchanges_.first_expected())
            owner_.unwatched(*id);
        return watch_state();
    }
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this()](auto ec)
                                {
                                    self->watching_ = false;
                                    if (!ec)
                                        self->readable();
                                });
}

/// Checks the connection for its end from time to time, since bytes in front of it are not read.
void session::watch_state()
{
    state_check_.expires_after(state_check_interval);
    state_check_.async_wait(
        [self = shared_from_this()](boost::system::error_code)
        {
            bool const stopped = self->reading_stopped_ && !self->exchanges_.is_empty();
            if (!self->ended_ && stopped && !kernel::has_peer_closed(self->stream_.socket()))
                return self->watch_state();
            self->watching_ = false;
            if (stopped)
                return self->caller_left();
            self->watch();
        });
}

void session::readable()
{
    // Without an expected answer, the operations of read_next() read the socket.
    if (ended_ || left_ || exchanges_.is_empty())
        return;
    if (!read_ahead())
        return caller_left();
    take_more();
}

void session::caller_left()
{
    if (ended_ || left_)
        return;
    left_ = true;
    last_taken_ = true;
    for (auto const id : exchanges_.drop_unanswered())
        owner_.caller_gone(id);
    if (exchanges_.is_empty())
        end();
}

void session::answer(request_id id, http_response&& what)
{
    if (ended_)
        return;
    exchanges_.answer(id, std::move(what));
    write_next();
}

void session::write_next()
{
    if (ended_ || serializer_ || !exchanges_.is_next_ready())
        return;
    bool const is_last = exchanges_.is_last();
    if (is_last && (owner_.closing() || monotonic_now() >= close_after_))
        last_taken_ = true;
    serializer_.emplace(exchanges_.next(!is_last || !last_taken_));
    stream_.expires_never();
    confirmed_ = confirmed_bytes();
    limit_silence();
    write();
}

std::int64_t session::confirmed_bytes()
{
    return handed_over_ - kernel::unconfirmed_bytes(stream_.socket()).count();
}

void session::limit_silence()
{
    silence_check_.expires_after(owner_.config().read_limit);
    silence_check_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            // The check of an earlier answer may have been due when it was cancelled.
            bool const is_stale = self->silence_check_.expiry() > std::chrono::steady_clock::now();
            if (ec || is_stale || !self->serializer_)
                return;
            auto const confirmed = self->confirmed_bytes();
            if (confirmed <= self->confirmed_)
                return self->end();
            self->confirmed_ = confirmed;
            self->limit_silence();
        });
}

void session::write()
{
    http::async_write_some(stream_, *serializer_,
                           [self = shared_from_this()](auto ec, std::size_t n)
                           {
                               self->handed_over_ += static_cast<std::int64_t>(n);
                               if (ec || self->serializer_->is_done())
                                   return self->written(ec);
                               self->write();
                           });
}

void session::written(boost::system::error_code ec)
{
    silence_check_.cancel();
    serializer_.reset();
    if (ec || ended_)
        return end();
    exchanges_.pop();
    if (!exchanges_.is_empty())
    {
        write_next();
        return take_more();
    }
    if (last_taken_)
        return close_behind_answer();
    read_next();
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
    return !exchanges_.is_empty() || kernel::unconfirmed_bytes(stream_.socket()) != byte_count(0);
}

void session::end()
{
    if (ended_)
        return;
    ended_ = true;
    silence_check_.cancel();
    state_check_.cancel();
    for (auto const id : exchanges_.drop_unanswered())
        owner_.caller_gone(id);
    boost::system::error_code ec;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    stream_.close();
    owner_.ended(shared_from_this());
}

} // namespace mulberryrudder::caller_http
