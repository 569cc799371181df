#include "replica_settings.hpp"

namespace mulberryrudder::control
{

namespace
{

using kernel::field;

constexpr kernel::limits timeouts{10, 60'000};

std::optional<std::string> check_replica(replica_settings const& config)
{
    if (config.heartbeat_interval * 3 > config.lease_duration)
        return "\"lease\" to be at least three times \"heartbeat\", so that one lost message "
               "does not end it";
    if (config.lease_margin * 2 >= config.lease_duration)
        return "\"lease_margin\" to be less than half of \"lease\"";
    if (config.election_timeout < config.lease_duration)
        return "\"election_timeout\" to be at least \"lease\", since no vote is given before";
    return std::nullopt;
}

} // namespace

kernel::section<replica_settings> const replica_section{
    "replica",
    {
        field("election_timeout", &replica_settings::election_timeout, timeouts,
              "Milliseconds without a message from the leader after which a replica starts an "
              "election. Each wait is drawn at random between this value and twice this value."),
        field("heartbeat", &replica_settings::heartbeat_interval, timeouts,
              "Milliseconds between two heartbeats of the leader."),
        field("lease", &replica_settings::lease_duration, timeouts,
              "Milliseconds after a message from the leader during which a replica votes for no "
              "other replica."),
        field("lease_margin", &replica_settings::lease_margin, {1, 60'000},
              "Milliseconds by which the leader's own lease is shorter, to allow for clocks that "
              "run at different rates."),
        field("snapshot_threshold", &replica_settings::snapshot_threshold, {1, 1'000'000},
              "Entries applied since the last snapshot after which a new one is taken."),
        field(
            "snapshot_bytes", &replica_settings::snapshot_bytes, {1, 1 << 30},
            "About how many bytes of entries are applied since the last snapshot before a new one "
            "is taken, and how many may wait for their commit; the size of the last snapshot if "
            "that is greater."),
        field("append_batch", &replica_settings::max_append_entries, {1, 4096},
              "Maximum number of entries in one message to another replica."),
        field(
            "append_bytes", &replica_settings::max_append_bytes, {1, 1 << 30},
            "About how many bytes of entries one message to another replica has at most. A larger "
            "entry is sent alone."),
    },
    check_replica};

} // namespace mulberryrudder::control
