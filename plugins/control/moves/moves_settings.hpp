#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVES_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVES_SETTINGS_HPP

#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::control
{

/// Settings of the moves; they should be equal on all control instances.
struct moves_settings
{
    per_mille first_share{10};
    milliseconds least_dwell{5'000};
    milliseconds most_dwell{300'000};
    milliseconds stale_after{5'000};
    milliseconds warm_up{3'000};
    milliseconds watch{600'000};
    requests least_outcomes{30};
    std::int64_t false_alarm_outcomes = 1'000'000;
};

extern kernel::section<moves_settings> const moves_section;

} // namespace mulberryrudder::control

#endif
