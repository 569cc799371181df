#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_LOOKUP_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_LOOKUP_SETTINGS_HPP

#include "block_file.hpp"

#include <mulberryrudder/core/ids.hpp>

#include <string>
#include <vector>

namespace mulberryrudder::entry
{

/// A site of clients and what it is near to.
struct site_settings
{
    std::string name;
    std::vector<region_id> nearest; ///< Regions, nearest first; others follow by name.
    domain_id nearest_domain;       ///< Preferred in the nearest region; may be empty.
};

/// Reads one element of `/lookup/sites`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                site_settings& out);

/// The `lookup` section of the settings.
struct lookup_settings
{
    named_block_file blocks;
    std::vector<site_settings> sites;
    std::int64_t most_instances = 4;
    milliseconds time_to_live{10000};
    per_mille time_to_live_spread{200};
    milliseconds time_to_live_without_lease{1000};
};

extern kernel::section<lookup_settings> const lookup_section;

} // namespace mulberryrudder::entry

#endif
