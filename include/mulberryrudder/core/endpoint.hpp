#ifndef MULBERRYRUDDER_CORE_ENDPOINT_HPP
#define MULBERRYRUDDER_CORE_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace mulberryrudder
{

/// An IP address in text and a TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(endpoint const&, endpoint const&) = default;
    friend bool operator==(endpoint const&, endpoint const&) = default;
};

/// Returns `address:port`, with brackets around an IPv6 address.
std::string to_string(endpoint const& value);

/// Reads `address:port`; false unless the address is an IP number and the port 1 to 65535.
bool parse_endpoint(std::string const& text, endpoint& out);

} // namespace mulberryrudder

#endif
