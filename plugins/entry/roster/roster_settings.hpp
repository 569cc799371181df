#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_ROSTER_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_ROSTER_SETTINGS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::entry
{

struct roster_settings
{
    milliseconds answer_timeout{1300};
    milliseconds first_answer_timeout{250};
    milliseconds min_report_interval{40};
    milliseconds disconnected_retry_delay{150};
    milliseconds max_plan_age{2000};
    milliseconds first_plan_timeout{3000};
    milliseconds max_round_trip{500};
};

extern kernel::section<roster_settings> const roster_section;

} // namespace mulberryrudder::entry

#endif
