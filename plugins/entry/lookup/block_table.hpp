#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_BLOCK_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_BLOCK_TABLE_HPP

#include "range_map.hpp"

#include <mulberryrudder/core/client_address.hpp>
#include <mulberryrudder/core/units.hpp>

#include <compare>
#include <string>
#include <vector>

namespace mulberryrudder::entry
{

/// A block of client addresses; its address is zero behind the prefix. IPv4 blocks
/// are held as the IPv6 blocks that they are mapped to.
struct client_block
{
    client_address first;
    std::uint8_t prefix_bits = 0; ///< 0 to 128 of the mapped address.

    friend auto operator<=>(client_block const&, client_block const&) = default;
    friend bool operator==(client_block const&, client_block const&) = default;
};

/// Reads `address/bits`; false if it is neither an IPv4 nor an IPv6 block, if bits are
/// set behind the prefix, or if an IPv6 prefix is longer than 64 bits.
bool parse_client_block(std::string const& text, client_block& out);

/// A block and the site that its clients are nearest to.
struct block_site
{
    client_block block;
    site_index site;
};

/// Finds the site of a client by the longest block that holds its address. It is
/// immutable once made.
///
/// Thread safety: any thread.
class block_table
{
public:
    block_table() = default;

    /// Sorts the blocks in; of two equal ones the later counts.
    explicit block_table(std::vector<block_site> const& blocks);

    /// Returns the client's site, or no_site.
    site_index find(client_address const& client) const noexcept;

    std::size_t blocks() const noexcept { return blocks_; }

    /// Returns the memory that the table takes.
    byte_count memory() const noexcept;

private:
    range_map<std::uint32_t> ipv4_;
    range_map<std::uint64_t> ipv6_; ///< By the upper 64 bits.
    std::size_t blocks_ = 0;
};

} // namespace mulberryrudder::entry

#endif
