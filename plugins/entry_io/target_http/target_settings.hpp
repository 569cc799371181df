#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_TARGET_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_TARGET_SETTINGS_HPP

#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::target_http
{

/// The `target_connections` section: limits on the connections to targets.
struct target_settings
{
    milliseconds connect_limit{500};
    milliseconds idle_limit{30000};
    milliseconds silence_limit{1500};
    bool lenient = false;
    byte_count most_header{16'384};
    byte_count most_body{4'194'304};
    byte_count most_unread{67'108'864};
};

extern kernel::section<target_settings> const target_section;

} // namespace mulberryrudder::target_http

#endif
