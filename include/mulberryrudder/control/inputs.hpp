#ifndef MULBERRYRUDDER_CONTROL_INPUTS_HPP
#define MULBERRYRUDDER_CONTROL_INPUTS_HPP

#include <mulberryrudder/control/log_types.hpp>
#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mulberryrudder::control
{

/// Numbers an operator's request within one control process.
using operator_request_id = strong_id<struct operator_request_tag, std::uint64_t>;
/// Numbers a write to the disk.
using disk_ticket = strong_id<struct disk_ticket_tag, std::uint64_t>;

/// Numbers the versions of the record that is kept on the disk beside the log.
using record_version = strong_id<struct record_version_tag, std::uint64_t>;

/// A message of another instance arrived.
struct message_arrived
{
    envelope message;
};

/// An operator asks for something; the body is a struct of the component's own.
struct operator_asked
{
    operator_request_id id;
    any_message body;
};

/// What the disk held when the process started; always the first input.
struct disk_recovered
{
    /// Nothing could be read. disk_failed follows, and another disk_recovered once it could.
    bool failed = false;
    bool blank = true; ///< There was no state at all: a new or replaced disk.
    /// The state was copied to this disk, so it may be older than what was lost.
    bool copied = false;
    hard_state state;
    std::optional<snapshot> base;
    std::vector<log_entry> entries; ///< Behind the snapshot, without gaps.
    any_message record;             ///< The newest that was kept; empty without one.
};

/// Everything up to this ticket is synced.
struct disk_synced
{
    disk_ticket ticket;
};

/// The disk cannot be written. Writes are ignored, and the replica must neither vote nor lead,
/// until reopen_disk was asked for and disk_reopened told.
struct disk_failed
{
    std::string cause;
};

/// The disk can be written again. What was not synced before it failed is lost.
struct disk_reopened
{
};

/// A record is on the disk.
struct record_kept
{
    record_version version;
};

/// The operating system asked for a planned stop.
struct stop_requested
{
};

/// All that the control's decision core is told.
using input = std::variant<message_arrived, operator_asked, disk_recovered, disk_synced,
                           disk_failed, disk_reopened, record_kept, stop_requested>;

/// Writes to the disk in this order: state, then cut the log from an index on,
/// then append entries; then sync and tell disk_synced with the ticket.
struct persist
{
    disk_ticket ticket;
    std::optional<hard_state> state;
    std::optional<log_index> cut_from;
    std::vector<log_entry> entries;
};

/// Replaces the log up to the snapshot's index by the snapshot.
struct persist_snapshot
{
    disk_ticket ticket;
    snapshot base;
};

/// Writes a record beside the log in the place of the one before, syncs it, and tells record_kept.
struct keep_record
{
    record_version version;
    any_message contents; ///< Any struct with a codec.
};

/// Asks for a disk that failed to be opened again. Writes asked for earlier are ignored.
struct reopen_disk
{
};

/// Answers an operator's request.
struct answer_operator
{
    operator_request_id id;
    any_message body;
};

/// Sends a message to another instance.
struct send_message
{
    envelope message;
};

/// Tells the peer link where an instance is reached.
struct learn_instance
{
    instance_id id;
    endpoint peer;
    bool restarted = false; ///< It started anew since it was last heard.
};

/// The planned stop is complete.
struct stop_completed
{
};

/// All that the control's decision core can ask for.
using effect = std::variant<persist, persist_snapshot, keep_record, reopen_disk, answer_operator,
                            send_message, learn_instance, stop_completed>;
using effects = std::vector<effect>;

} // namespace mulberryrudder::control

#endif
