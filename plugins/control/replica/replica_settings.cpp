#include "replica_settings.hpp"

namespace mulberryrudder::control
{

namespace
{

using kernel::field;

constexpr kernel::limits timeouts{10, 60'000};

std::optional<std::string> check_replica(replica_settings const& it)
{
    if (it.heartbeat * 3 > it.lease)
        return "\"lease\" to be at least three times \"heartbeat\", so that one lost message "
               "does not end it";
    if (it.lease_margin * 2 >= it.lease)
        return "\"lease_margin\" to be less than half of \"lease\"";
    if (it.election_timeout < it.lease)
        return "\"election_timeout\" to be at least \"lease\", since no vote is given before";
    return std::nullopt;
}

} // namespace

kernel::section<replica_settings> const replica_section{
    "replica",
    {
        field("election_timeout", &replica_settings::election_timeout, timeouts,
              "Milliseconds without a leader until a replica asks for votes; up to twice that, "
              "at random."),
        field("heartbeat", &replica_settings::heartbeat, timeouts,
              "Milliseconds between two rounds of the leader's messages."),
        field("lease", &replica_settings::lease, timeouts,
              "Milliseconds for which a replica that heard the leader gives nobody else its "
              "vote."),
        field("lease_margin", &replica_settings::lease_margin, {1, 60'000},
              "Milliseconds by which the leader ends its own lease earlier, for clocks that "
              "run at different rates."),
        field("snapshot_threshold", &replica_settings::snapshot_threshold, {1, 1'000'000},
              "Entries applied since the last snapshot after which a new one is taken."),
        field("append_batch", &replica_settings::append_batch, {1, 4096},
              "Most entries in one message to another replica."),
    },
    check_replica};

} // namespace mulberryrudder::control
