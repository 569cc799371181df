#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_CALLER_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_CALLER_SETTINGS_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <vector>

namespace mulberryrudder::caller_http
{

/// The `callers` section: limits on what callers and targets may send.
struct caller_settings
{
    byte_count most_header{16'384};
    byte_count most_body{1'048'576};
    byte_count most_unanswered{67'108'864};
    requests most_pipelined{16};
    byte_count most_waiting_answers{1'048'576};
    milliseconds start_limit{10000};
    milliseconds read_limit{5000};
    milliseconds idle_limit{60000};
    milliseconds connection_lifetime{300000};
    milliseconds default_deadline{2000};
    milliseconds most_deadline{30000};
    milliseconds stop_limit{30000};
    connections most_connections{4000};
    std::int64_t reserved_descriptors = 500;
    std::vector<endpoint> operators; ///< Where readiness and counters are told.
};

extern kernel::section<caller_settings> const caller_section;

/// Returns how many connections of callers may be open, in a process that may have this many
/// descriptors. Callers get at least half of them.
connections affordable(caller_settings const& config, std::int64_t descriptors);

/// Returns the limits that hold: those of the settings, narrowed by what the plan
/// states. A header may take as long as a whole request if the plan says nothing.
caller_limits narrowed(caller_settings const& config, caller_limits const& stated);

} // namespace mulberryrudder::caller_http

#endif
