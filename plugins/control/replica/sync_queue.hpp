#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_SYNC_QUEUE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_SYNC_QUEUE_HPP

#include <mulberryrudder/control/inputs.hpp>

#include <deque>
#include <vector>

namespace mulberryrudder::control
{

/// Issues tickets for disk writes and holds messages until the writes that they depend on
/// are synced.
///
/// Thread safety: one owner.
class sync_queue
{
public:
    /// Returns the ticket of a new write. `last` is the last index of the log after the write.
    disk_ticket issue(log_index last);

    /// Marks the entries from `first` on as removed, synced or not.
    void truncate_from(log_index first);

    /// Discards all writes and messages; the recovered log ends at `last`.
    void reset(log_index last);

    /// Returns whether all writes issued so far are synced.
    bool is_idle() const { return issued_ == synced_; }

    /// Returns whether a message may be sent at once. Otherwise keeps a copy until all writes
    /// issued so far are synced.
    bool pass_or_hold(envelope const& message);

    /// Processes a sync up to `ticket`; returns the messages that may be sent now.
    std::vector<envelope> synced(disk_ticket ticket);

    /// Discards the held messages, for a replica that must no longer reply.
    void discard_held() { held_messages_.clear(); }

    disk_ticket newest_ticket() const { return issued_; }
    disk_ticket synced_ticket() const { return synced_; }
    /// Returns the last index whose entry is synced.
    log_index durable() const { return durable_; }

private:
    struct pending_write
    {
        disk_ticket ticket;
        log_index last;
    };
    struct held_message
    {
        disk_ticket required_ticket;
        envelope message;
    };

    disk_ticket issued_;
    disk_ticket synced_;
    log_index durable_;
    std::deque<pending_write> pending_writes_;
    std::deque<held_message> held_messages_;
};

} // namespace mulberryrudder::control

#endif
