#ifndef MULBERRYRUDDER_CORE_CLIENT_ADDRESS_HPP
#define MULBERRYRUDDER_CORE_CLIENT_ADDRESS_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace mulberryrudder
{

/// A caller's IP address as 16 bytes; IPv4 is mapped into IPv6 (RFC 4291).
struct client_address
{
    std::array<std::uint8_t, 16> bytes{};

    friend auto operator<=>(client_address const&, client_address const&) = default;
    friend bool operator==(client_address const&, client_address const&) = default;
};

/// Reads an IPv4 or IPv6 number; false if `text` is neither.
bool parse_client_address(std::string const& text, client_address& out);

} // namespace mulberryrudder

#endif
