#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_BLOCK_FILE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_BLOCK_FILE_HPP

#include "block_table.hpp"

#include <mulberryrudder/core/error.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::entry
{

/// The blocks of a file with the names of their sites, as the settings hold it.
struct block_file
{
    std::vector<std::string> sites; ///< By site_index.
    block_table table;
};

/// A block file that is read along with the settings; null if none is named.
struct named_block_file
{
    std::shared_ptr<block_file const> content;
};

/// Reads one block a line, `prefix site`, such as `203.0.113.0/24 izmir`; empty lines
/// and what follows `#` are skipped. All of the file's failures are reported at once.
result<block_file> parse_block_file(std::string_view text, std::string const& file);

/// Reads the file that a setting names.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                named_block_file& out);

} // namespace mulberryrudder::entry

#endif
