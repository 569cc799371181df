#ifndef MULBERRYRUDDER_CORE_DIGEST_HPP
#define MULBERRYRUDDER_CORE_DIGEST_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace mulberryrudder
{

/// Holds a SHA-256 digest: of a customer's key, or of a request's content.
struct digest
{
    std::array<std::uint8_t, 32> bytes{};

    friend auto operator<=>(digest const&, digest const&) = default;
    friend bool operator==(digest const&, digest const&) = default;
};

/// Returns the SHA-256 digest of `text` (OpenSSL). Thread safety: any thread.
digest sha256(std::string_view text);

/// Compares in time that does not depend on the content (OpenSSL's
/// CRYPTO_memcmp), so that an answer's delay tells nothing of a stored key.
bool equal_in_constant_time(digest const& a, digest const& b);

/// Returns 64 hexadecimal digits.
std::string to_hex(digest const& value);

/// Reads 64 hexadecimal digits; false if `text` is anything else.
bool from_hex(std::string_view text, digest& out);

} // namespace mulberryrudder

template <>
struct std::hash<mulberryrudder::digest>
{
    std::size_t operator()(mulberryrudder::digest const& value) const noexcept
    {
        std::size_t n = 0;
        std::memcpy(&n, value.bytes.data(), sizeof n);
        return n;
    }
};

#endif
