#include <mulberryrudder/kernel/socket_options.hpp>

#include <boost/asio/detail/socket_option.hpp>

#include <algorithm>
#include <netinet/tcp.h>

namespace mulberryrudder::kernel
{

namespace
{

using boost::asio::detail::socket_option::boolean;
using boost::asio::detail::socket_option::integer;

/// Probes without an answer after which an idle connection is lost.
constexpr int most_probes = 2;

} // namespace

void limit_silence(boost::asio::ip::tcp::socket& socket, milliseconds limit)
{
    auto const count = static_cast<int>(limit.count());
    // Keep-alive counts in whole seconds.
    auto const whole = std::max(count / 1000, 1);
    // A connection without these options is slower to be given up, and works.
    boost::system::error_code ignored;
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(count), ignored);
    socket.set_option(boolean<SOL_SOCKET, SO_KEEPALIVE>(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(whole), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(whole), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(most_probes), ignored);
}

} // namespace mulberryrudder::kernel
