#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVES_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVES_SETTINGS_HPP

#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::control
{

/// Settings of the moves. They should be equal on all control instances, since any of
/// them may become the leader, which decides the steps.
struct moves_settings
{
    per_mille first_share{10};
    milliseconds min_dwell{5'000};
    milliseconds max_dwell{300'000};
    milliseconds stale_after{5'000};
    milliseconds warm_up{3'000};
    milliseconds watch_time{600'000};
    requests min_outcomes{30};
    std::int64_t false_alarm_outcomes = 1'000'000;
};

extern kernel::section<moves_settings> const moves_section;

} // namespace mulberryrudder::control

#endif
