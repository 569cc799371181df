#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_LEAVE_KEEPER_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_LEAVE_KEEPER_HPP

#include <mulberryrudder/control/inputs.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <deque>
#include <map>
#include <optional>

namespace mulberryrudder::control
{

/// Tracks which leaves of targets are on this instance's disk, and so up to which message of each
/// other control instance it may acknowledge them. One write is under way at a time; the next one
/// covers all that came meanwhile.
///
/// Thread safety: one owner.
class leave_keeper
{
public:
    /// Begins to keep leaves, once the disk was read. Before that, and without a disk, leaves are
    /// acknowledged as they are received.
    void enable();
    bool is_enabled() const { return enabled_; }

    /// Records that the disk takes no writes. No leave counts as kept that did not before.
    void disk_lost();
    /// Records that the disk takes writes again. The whole record must be written anew.
    void disk_reopened();

    /// Records that the contents of the record changed.
    void mark_changed() { current_ = next(current_); }

    /// Returns the version that contains all changes so far.
    record_version current() const { return current_; }

    /// Returns the version to be written now; nothing if a write is under way, the newest version
    /// is on the disk or the disk takes no writes.
    std::optional<record_version> begin_write();

    /// Records that a version is on the disk.
    void written(record_version version);

    /// Returns whether a version, or a later one, is on the disk, or none has to be.
    bool is_kept(record_version version) const { return !enabled_ || version <= written_; }

    /// Records that the message `number` of another instance was received. Precondition: what it
    /// changed is marked.
    void record_message(instance_id sender, boot_id boot, sequence_id number);

    /// Returns the newest message of a start of another instance whose leaves are on the disk; 0 if
    /// there is none.
    sequence_id kept_of(instance_id sender, boot_id boot) const;

private:
    /// A message whose leaves are on the disk once `version` is.
    struct received_message
    {
        record_version version;
        sequence_id number;
    };

    struct sender_state
    {
        boot_id boot;
        sequence_id kept;
        std::deque<received_message> unkept; ///< One of each version, the oldest first.
    };

    static record_version next(record_version it) { return record_version(it.value() + 1); }
    void count_kept(sender_state& sender) const;

    bool enabled_ = false;
    bool writable_ = false;
    record_version current_;
    record_version written_;
    std::optional<record_version> writing_;
    std::map<instance_id, sender_state> senders_;
};

} // namespace mulberryrudder::control

#endif
