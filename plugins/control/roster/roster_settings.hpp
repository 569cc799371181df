#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ROSTER_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ROSTER_SETTINGS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::control
{

struct roster_settings
{
    milliseconds exchange_interval{200};
    milliseconds poll_timeout{700};
    milliseconds entry_timeout{2500};
    milliseconds target_timeout{6000};
    milliseconds leave_timeout{900};
    milliseconds answer_lifetime{2000};
    milliseconds confirmation_lifetime{1000};
    std::int64_t max_look_up_entries = 64;
};

extern kernel::section<roster_settings> const roster_section;

} // namespace mulberryrudder::control

#endif
