#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_TABLE_SYNC_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_TABLE_SYNC_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace mulberryrudder::control
{

/// Tracks whether this instance's table of targets contains every acknowledged leave. After a
/// start, a pause or a loss of the other instances it may not, since they repeat a leave for a
/// limited time only. It does again once enough of them sent their whole tables: every majority
/// that acknowledged a leave includes one of these.
///
/// Thread safety: one owner.
class table_sync
{
public:
    /// Starts to collect tables. `newest_sent` is the newest message of this instance: tables
    /// that answer it or an earlier one may be older than what was missed. After `deadline` the
    /// table counts as synchronized anyway, since each target that serves has announced itself by
    /// then.
    void begin(instant deadline, sequence_id newest_sent);

    /// Records that an instance sent its whole table, after it had received the message
    /// `acknowledged` of this instance.
    void record_table(instance_id sender, sequence_id acknowledged);

    /// Ends the synchronization if at least half of all `instances`, including this one, sent
    /// their tables or the deadline has passed. `instances` is empty while not all of them are
    /// known. Returns whether the synchronization ended with this call.
    bool finish(std::optional<std::size_t> instances, instant now);

    /// Records that the disk holds every leave that an earlier start of this instance acknowledged,
    /// so that its table counts for others.
    void restore() { intact_ = true; }

    bool is_synchronized() const { return synchronized_; }

    /// Returns whether this instance was synchronized at some time since its start, or restored, so
    /// that its table counts for others.
    bool is_intact() const { return intact_; }

    /// Returns whether the next message to an instance is to request its table. A request is
    /// repeated after a while if no table came.
    bool request_table_of(instance_id id, instant now);

    std::size_t received_count() const { return received_.size(); }

private:
    std::set<instance_id> received_;
    std::map<instance_id, instant> next_requests_; ///< When requests may be repeated.
    instant deadline_;
    sequence_id newest_sent_; ///< When the synchronization began.
    bool synchronized_ = false;
    bool intact_ = false;
};

} // namespace mulberryrudder::control

#endif
