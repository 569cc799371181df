#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LEADER_ABSENCE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LEADER_ABSENCE_HPP

#include <mulberryrudder/control/membership.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/events.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::control
{

/// Tracks for how long a voter has known no leader, and which other voters it hears meanwhile.
///
/// Thread safety: one owner.
class leader_absence
{
public:
    /// Records that a leader was heard, or that this replica acts as one.
    void record_leader(instant now) { led_at_ = now; }

    /// Records that an instance was heard, and with which disk.
    void record_heard(voter const& sender, instant now);

    /// Returns whether a leader has begun to be missing for long, or ceased to be, since the last
    /// call. Call it at least every few hundred milliseconds.
    bool update(instant now);

    /// Returns the fields of the event that reports the change.
    std::vector<kernel::event_field> fields(group_membership const& members, voter const& self,
                                            instant now) const;

private:
    struct heard_disk
    {
        disk_id disk;
        instant at;
    };

    instant led_at_;
    instant reported_since_; ///< Since when the leader was missing that was reported last.
    bool is_missing_ = false;
    std::map<instance_id, heard_disk> heard_;
};

} // namespace mulberryrudder::control

#endif
