#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_SYNC_QUEUE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_SYNC_QUEUE_HPP

#include <mulberryrudder/control/inputs.hpp>

#include <deque>
#include <vector>

namespace mulberryrudder::control
{

/// Numbers the writes to the disk and holds back messages until everything that
/// they tell of is synced.
///
/// Thread safety: one owner.
class sync_queue
{
public:
    /// Returns the ticket of a new write, after which the log ends at `last`.
    disk_ticket issue(log_index last);

    /// Notes that entries from `first` on are void, synced or not.
    void cut_from(log_index first);

    /// Starts over with a recovered log that ends at `last`.
    void reset(log_index last);

    /// Takes a message; returns whether it may be sent at once. A message that
    /// may not is kept until all writes issued before are synced.
    bool ready(envelope const& it);

    /// Takes a sync; returns the messages that may be sent now.
    std::vector<envelope> synced(disk_ticket ticket);

    /// Forgets the messages, for a replica that must not answer any more.
    void drop_held() { held_.clear(); }

    disk_ticket newest() const { return issued_; }
    disk_ticket synced_ticket() const { return synced_; }
    /// Returns the last entry that is certainly on the disk.
    log_index durable() const { return durable_; }

private:
    struct write
    {
        disk_ticket ticket;
        log_index last;
    };
    struct message
    {
        disk_ticket after;
        envelope body;
    };

    disk_ticket issued_;
    disk_ticket synced_;
    log_index durable_;
    std::deque<write> writes_;
    std::deque<message> held_;
};

} // namespace mulberryrudder::control

#endif
