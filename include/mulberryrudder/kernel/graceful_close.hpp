#ifndef MULBERRYRUDDER_KERNEL_GRACEFUL_CLOSE_HPP
#define MULBERRYRUDDER_KERNEL_GRACEFUL_CLOSE_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>

namespace mulberryrudder::kernel
{

/// When a connection is closed although its peer has not ended it.
struct close_limits
{
    instant deadline;
    byte_count most_discarded; ///< Bytes of the peer that are read.
};

/// Ends a connection without cutting off what was written to it: sends the end behind the written
/// bytes, then reads and discards until the peer ends its side, or a limit is reached. A socket
/// that is closed while bytes wait unread resets the connection, and the kernel drops what it has
/// not sent yet (RFC 9112, section 9.6).
///
/// Calls `closed` once, when the stream is closed, and not before it returns.
///
/// Precondition: no read or write of the stream is pending. Thread safety: the stream's thread.
void close_gracefully(std::shared_ptr<boost::beast::tcp_stream> stream, close_limits limits,
                      std::function<void()> closed);

/// Returns how many of the bytes that were written to the socket the peer has not confirmed; zero
/// if that is not known.
///
/// Thread safety: the socket's thread.
byte_count unconfirmed_bytes(boost::asio::ip::tcp::socket& socket);

/// Returns whether closing the socket now may cut off bytes: some that were written are not
/// confirmed by the peer, or some of the peer wait unread.
///
/// Thread safety: the socket's thread.
bool has_bytes_under_way(boost::asio::ip::tcp::socket& socket);

/// Returns whether the peer has closed its side of the connection or the whole of it. Bytes that it
/// sent before may still wait unread.
///
/// Thread safety: the socket's thread.
bool has_peer_closed(boost::asio::ip::tcp::socket& socket);

} // namespace mulberryrudder::kernel

#endif
