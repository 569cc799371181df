#include "connection.hpp"

#include <mulberryrudder/kernel/socket_options.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mulberryrudder::target_http
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Bytes that are taken from a socket at a time, at most; what of a reply cannot be decoded
/// yet, such as a line without an end, is bounded by this and the header's limit.
constexpr std::size_t read_size = 65'536;

/// Interim replies that a target may send before its answer.
constexpr int max_interim_replies = 16;

/// Returns whether a status announces that the answer follows (RFC 9110, section 15.2). 101 would
/// change the protocol, which is never asked for.
bool is_interim(unsigned status)
{
    return status >= 100 && status < 200 && status != 101;
}

/// Returns whether a status is one of an answer.
bool is_final(unsigned status)
{
    return status >= 200 && status < 600;
}

entry::attempt_failure cause_of(boost::system::error_code ec, bool open)
{
    if (ec == boost::beast::error::timeout)
        return open ? entry::attempt_failure::timeout : entry::attempt_failure::connect_timeout;
    if (!open)
        return entry::attempt_failure::connect_refused;
    bool const parsed_wrong =
        ec.category() == http::make_error_code(http::error::bad_version).category();
    bool const cut = ec == http::error::end_of_stream || ec == http::error::partial_message;
    return parsed_wrong && !cut ? entry::attempt_failure::malformed
                                : entry::attempt_failure::closed;
}

} // namespace

connection::connection(boost::asio::io_context& loop, endpoint where, target_settings const& config,
                       kernel::byte_budget& unread)
    : stream_(loop), where_(std::move(where)), config_(config),
      buf_(static_cast<std::size_t>(config.most_header.count()) + read_size), unread_(unread)
{
}

void connection::exchange(http_request what, instant deadline, ended done)
{
    ++idle_epoch_;
    request_ = std::move(what);
    deadline_ = deadline;
    done_ = std::move(done);
    cancelled_ = false;
    reusable_ = false;
    if (open_)
        return write();
    connect();
}

void connection::connect()
{
    tcp::endpoint const where(boost::asio::ip::make_address(where_.address), where_.port);
    auto const limit = std::min(deadline_, monotonic_now() + config_.connect_limit);
    stream_.expires_at(on_steady_clock(limit));
    stream_.async_connect(where, [self = shared_from_this()](auto ec) { self->connected(ec); });
}

void connection::connected(boost::system::error_code ec)
{
    if (ec || cancelled_)
        return fail(ec, verdict::not_run);
    open_ = true;
    stream_.socket().set_option(tcp::no_delay(true), ec);
    kernel::limit_silence(stream_.socket(), config_.silence_limit);
    write();
}

void connection::write()
{
    stream_.expires_at(on_steady_clock(deadline_));
    http::async_write(stream_, request_,
                      [self = shared_from_this()](auto ec, std::size_t)
                      {
                          if (ec || self->cancelled_)
                              return self->fail(ec, verdict::may_have_run);
                          self->read();
                      });
}

void connection::read()
{
    interim_replies_ = 0;
    read_reply();
}

void connection::read_reply()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(config_.most_header.count()));
    parser_->body_limit(static_cast<std::uint64_t>(config_.most_body.count()));
    if (request_.method() == http::verb::head)
        parser_->skip(true);
    read_more();
}

void connection::read_more()
{
    http::async_read_some(stream_, buf_, *parser_,
                          [self = shared_from_this()](boost::system::error_code ec, std::size_t)
                          {
                              if (ec || self->cancelled_ || self->parser_->is_done())
                                  return self->reply_read(ec);
                              auto const held = self->parser_->get().body().size();
                              if (!self->unread_.set(byte_count(static_cast<std::int64_t>(held))))
                                  return self->reply_read(
                                      http::make_error_code(http::error::body_limit));
                              self->read_more();
                          });
}

void connection::reply_read(boost::system::error_code ec)
{
    if (ec || cancelled_)
        return fail(ec, verdict::may_have_run);
    auto const status = parser_->get().result_int();
    if (is_interim(status) && ++interim_replies_ <= max_interim_replies)
        return read_reply();
    if (!is_final(status))
        return fail(http::make_error_code(http::error::bad_status), verdict::may_have_run);
    // Bytes behind the reply belong to nothing that was asked, and a reply that
    // ends with the connection cannot be told from one that was cut, unless the
    // targets are known to reset connections that they cut.
    bool const framed = !parser_->need_eof() &&
                        (parser_->content_length() || parser_->chunked() || parser_->is_done());
    bool const accepted = framed ? buf_.size() == 0 || config_.lenient : config_.lenient;
    if (!accepted)
        return fail(http::make_error_code(http::error::bad_content_length), verdict::may_have_run);
    reusable_ = framed && buf_.size() == 0 && parser_->keep_alive();
    stream_.expires_never();
    finish(parser_->release());
}

void connection::cancel()
{
    cancelled_ = true;
    // Resets the connection: what the kernel still holds of the request is not to arrive later.
    boost::system::error_code ec;
    stream_.socket().set_option(boost::asio::socket_base::linger(true, 0), ec);
    // Unlike cancel(), this also ends an operation that is between two steps.
    stream_.close();
}

void connection::fail(boost::system::error_code ec, verdict run)
{
    auto const cause = cancelled_ ? entry::attempt_failure::cancelled : cause_of(ec, open_);
    close();
    parser_.reset();
    finish(exchange_failed{.cause = cause, .run = run});
}

void connection::finish(exchange_end how)
{
    unread_.reset();
    auto const done = std::move(done_);
    done_ = nullptr;
    if (done)
        done(std::move(how));
}

void connection::watch_idle(std::function<void()> const& closed)
{
    auto const epoch = ++idle_epoch_;
    // Only waits, for a read could take bytes of the next reply.
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this(), epoch, closed](auto)
                                {
                                    if (self->idle_epoch_ != epoch)
                                        return;
                                    self->close();
                                    closed();
                                });
}

void connection::close()
{
    ++idle_epoch_;
    open_ = false;
    reusable_ = false;
    stream_.close();
}

} // namespace mulberryrudder::target_http
