#ifndef MULBERRYRUDDER_KERNEL_SOCKET_OPTIONS_HPP
#define MULBERRYRUDDER_KERNEL_SOCKET_OPTIONS_HPP

#include <mulberryrudder/core/time.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace mulberryrudder::kernel
{

/// Lets a connection fail once its peer has confirmed nothing for `limit`: sent bytes
/// by TCP_USER_TIMEOUT, an idle connection by keep-alive probes. A kernel without an
/// option leaves the connection as it was.
///
/// Thread safety: the socket's thread.
void limit_silence(boost::asio::ip::tcp::socket& socket, milliseconds limit);

} // namespace mulberryrudder::kernel

#endif
