#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_RATE_RATE_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_RATE_RATE_SETTINGS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::entry
{

/// Settings of the rate stage.
struct rate_settings
{
    milliseconds patience{400};
    requests most_waiting{256};
    milliseconds borrow_timeout{300};
    milliseconds borrow_again{40};
    milliseconds borrow_most{320};
    milliseconds top_up_period{100};
};

extern kernel::section<rate_settings> const rate_section;

} // namespace mulberryrudder::entry

#endif
