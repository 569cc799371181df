#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_QUARANTINE_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_QUARANTINE_SETTINGS_HPP

#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::entry
{

/// Settings of the quarantine; they must be equal on all entry instances.
struct quarantine_settings
{
    milliseconds time{600'000};
    milliseconds suspect_time{60'000};
    milliseconds permit_wait{1'000};
    milliseconds longest_run{30'000};
};

extern kernel::section<quarantine_settings> const quarantine_section;

} // namespace mulberryrudder::entry

#endif
