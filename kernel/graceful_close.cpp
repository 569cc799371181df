#include <mulberryrudder/kernel/graceful_close.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <utility>

namespace mulberryrudder::kernel
{

namespace
{

/// How often a connection whose peer sends on is checked for the peer's confirmation.
constexpr milliseconds confirmation_check_interval{20};

/// Reads one connection to its end.
class discarding_reader : public std::enable_shared_from_this<discarding_reader>
{
public:
    discarding_reader(std::shared_ptr<boost::beast::tcp_stream> stream, close_limits limits,
                      std::function<void()> closed)
        : stream_(std::move(stream)), limits_(limits), closed_(std::move(closed)),
          confirmation_check_(stream_->get_executor())
    {
    }

    void start()
    {
        boost::system::error_code ec;
        stream_->socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        read();
    }

private:
    void read()
    {
        // A stream without time left would not call its handler.
        constexpr span shortest_wait = milliseconds(1);
        stream_->expires_after(std::max(limits_.deadline - monotonic_now(), shortest_wait));
        stream_->async_read_some(boost::asio::buffer(buf_),
                                 [self = shared_from_this()](auto ec, std::size_t n)
                                 { self->was_read(ec, n); });
    }

    void was_read(boost::system::error_code ec, std::size_t n)
    {
        discarded_ += n;
        auto const most = static_cast<std::size_t>(limits_.most_discarded.count());
        if (ec || monotonic_now() >= limits_.deadline)
            return close();
        if (discarded_ < most)
            return read();
        await_confirmation();
    }

    /// Leaves the peer's further bytes unread, and closes once it has confirmed what was written:
    /// the reset would drop the rest.
    void await_confirmation()
    {
        if (unconfirmed_bytes(stream_->socket()) == byte_count(0) ||
            monotonic_now() >= limits_.deadline)
            return close();
        confirmation_check_.expires_after(confirmation_check_interval);
        confirmation_check_.async_wait([self = shared_from_this()](boost::system::error_code)
                                       { self->await_confirmation(); });
    }

    void close()
    {
        stream_->close();
        closed_();
    }

    std::shared_ptr<boost::beast::tcp_stream> stream_;
    close_limits limits_;
    std::function<void()> closed_;
    boost::asio::steady_timer confirmation_check_;
    std::array<char, 4096> buf_{};
    std::size_t discarded_ = 0;
};

} // namespace

void close_gracefully(std::shared_ptr<boost::beast::tcp_stream> stream, close_limits limits,
                      std::function<void()> closed)
{
    std::make_shared<discarding_reader>(std::move(stream), limits, std::move(closed))->start();
}

byte_count unconfirmed_bytes(boost::asio::ip::tcp::socket& socket)
{
    int out = 0;
    return byte_count(::ioctl(socket.native_handle(), SIOCOUTQ, &out) == 0 ? out : 0);
}

bool has_bytes_under_way(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    return unconfirmed_bytes(socket) != byte_count(0) || socket.available(ec) != 0;
}

bool has_peer_closed(boost::asio::ip::tcp::socket& socket)
{
    pollfd state{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    constexpr short closed = POLLRDHUP | POLLHUP | POLLERR;
    return ::poll(&state, 1, 0) == 1 && (state.revents & closed) != 0;
}

} // namespace mulberryrudder::kernel
