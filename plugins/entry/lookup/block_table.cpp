#include "block_table.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::uint8_t mapped_bits = 96;
constexpr std::uint8_t longest_ipv6_prefix = 64;
constexpr std::array<std::uint8_t, 12> mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xFF, 0xFF};

bool is_ipv4(client_address const& it)
{
    return std::equal(mapped_prefix.begin(), mapped_prefix.end(), it.bytes.begin());
}

template <class Key>
Key key_of(client_address const& it, std::size_t from)
{
    Key out = 0;
    for (std::size_t n = 0; n != sizeof(Key); ++n)
        out = static_cast<Key>(out << 8U) | it.bytes[from + n];
    return out;
}

/// Returns the last key of a prefix; `bits` are those of the key's width.
template <class Key>
Key last_of(Key first, int bits)
{
    if (bits == std::numeric_limits<Key>::digits)
        return first;
    return first | (std::numeric_limits<Key>::max() >> bits);
}

bool is_clear_behind(client_address const& it, std::size_t bits)
{
    for (std::size_t n = bits; n != 128; ++n)
        if ((it.bytes[n / 8] >> (7 - n % 8) & 1U) != 0)
            return false;
    return true;
}

} // namespace

bool parse_client_block(std::string const& text, client_block& out)
{
    auto const slash = text.find('/');
    client_block read;
    if (slash == std::string::npos || !parse_client_address(text.substr(0, slash), read.first))
        return false;
    int bits = -1;
    auto const* const end = text.data() + text.size();
    auto const [rest, ec] = std::from_chars(text.data() + slash + 1, end, bits);
    bool const ipv4 = text.find(':') == std::string::npos;
    if (ec != std::errc{} || rest != end || bits < 0 || bits > (ipv4 ? 32 : longest_ipv6_prefix))
        return false;
    read.prefix_bits = static_cast<std::uint8_t>(ipv4 ? bits + mapped_bits : bits);
    if (!is_clear_behind(read.first, read.prefix_bits))
        return false;
    out = read;
    return true;
}

block_table::block_table(std::vector<block_site> const& blocks) : blocks_(blocks.size())
{
    std::vector<range_map<std::uint32_t>::range> ipv4;
    std::vector<range_map<std::uint64_t>::range> ipv6;
    for (auto const& it : blocks)
    {
        if (it.block.prefix_bits >= mapped_bits && is_ipv4(it.block.first))
        {
            auto const first = key_of<std::uint32_t>(it.block.first, mapped_bits / 8);
            ipv4.push_back({first, last_of(first, it.block.prefix_bits - mapped_bits), it.site});
            continue;
        }
        auto const first = key_of<std::uint64_t>(it.block.first, 0);
        ipv6.push_back({first, last_of(first, it.block.prefix_bits), it.site});
    }
    ipv4_ = range_map<std::uint32_t>(std::move(ipv4));
    ipv6_ = range_map<std::uint64_t>(std::move(ipv6));
}

site_index block_table::find(client_address const& client) const noexcept
{
    if (is_ipv4(client))
        return ipv4_.find(key_of<std::uint32_t>(client, mapped_bits / 8));
    return ipv6_.find(key_of<std::uint64_t>(client, 0));
}

byte_count block_table::memory() const noexcept
{
    return byte_count(static_cast<std::int64_t>(ipv4_.memory() + ipv6_.memory()));
}

} // namespace mulberryrudder::entry
