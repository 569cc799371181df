#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_QUARANTINE_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_QUARANTINE_SETTINGS_HPP

#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::entry
{

/// Settings of the quarantine. All entry instances must have the same values.
struct quarantine_settings
{
    milliseconds quarantine_time{600'000};
    milliseconds suspect_time{60'000};
    milliseconds permit_timeout{1'000};
    milliseconds max_run_time{30'000};
};

extern kernel::section<quarantine_settings> const quarantine_section;

} // namespace mulberryrudder::entry

#endif
