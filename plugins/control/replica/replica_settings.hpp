#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_SETTINGS_HPP

#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::control
{

/// Settings of the replicated log; they must be equal on all control instances.
struct replica_settings
{
    milliseconds election_timeout{1000};
    milliseconds heartbeat_interval{200};
    milliseconds lease_duration{1000};
    milliseconds lease_margin{100};
    std::int64_t snapshot_threshold = 1000;
    std::int64_t snapshot_bytes = 4 << 20;
    std::int64_t max_append_entries = 64;
    std::int64_t max_append_bytes = 1 << 20;
};

extern kernel::section<replica_settings> const replica_section;

} // namespace mulberryrudder::control

#endif
