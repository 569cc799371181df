#include "lookup_settings.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

std::vector<kernel::field_spec<site_settings>> const& site_fields()
{
    static std::vector<kernel::field_spec<site_settings>> const it{
        kernel::required_field("name", &site_settings::name, kernel::unbounded,
                               "Name of the site, as in the file of blocks."),
        kernel::field("nearest", &site_settings::nearest, kernel::unbounded,
                      "Regions, nearest first; those not named follow by name."),
        kernel::field("nearest_domain", &site_settings::nearest_domain, kernel::unbounded,
                      "Failure domain that is preferred in the nearest region."),
    };
    return it;
}

std::optional<std::string> check_lookup(lookup_settings const& it)
{
    if (it.blocks.content == nullptr)
        return std::nullopt;
    for (auto const& name : it.blocks.content->sites)
    {
        auto const same = [&](site_settings const& site) { return site.name == name; };
        if (std::none_of(it.sites.begin(), it.sites.end(), same))
            return "\"sites\" to hold the site \"" + name + "\" that the file of blocks names";
    }
    return std::nullopt;
}

} // namespace

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits,
                site_settings& out)
{
    read_members(from, at, site_fields(), out);
}

kernel::section<lookup_settings> const lookup_section{
    "lookup",
    {
        kernel::field("blocks", &lookup_settings::blocks, kernel::unbounded,
                      "File of client blocks, one a line: `203.0.113.0/24 izmir`."),
        kernel::field("sites", &lookup_settings::sites, kernel::unbounded,
                      "The sites: objects of \"name\", \"nearest\" and \"nearest_domain\"."),
        kernel::field("most_instances", &lookup_settings::most_instances, {1, 16},
                      "Most entry instances that an answer names."),
        kernel::field("time_to_live", &lookup_settings::time_to_live, {1, 3'600'000},
                      "Milliseconds for which a caller may use an answer."),
        kernel::field("time_to_live_spread", &lookup_settings::time_to_live_spread, {0, 900},
                      "Thousandths by which that time is shortened at most, so that cached "
                      "answers do not end together."),
        kernel::field("time_to_live_without_lease", &lookup_settings::time_to_live_without_lease,
                      {1, 3'600'000},
                      "Milliseconds for which a caller may use an answer that an instance "
                      "without a lease gave."),
    },
    check_lookup};

} // namespace mulberryrudder::entry
