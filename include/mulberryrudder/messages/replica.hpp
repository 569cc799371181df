#ifndef MULBERRYRUDDER_MESSAGES_REPLICA_HPP
#define MULBERRYRUDDER_MESSAGES_REPLICA_HPP

#include <mulberryrudder/control/log_types.hpp>

#include <cstdint>
#include <vector>

namespace mulberryrudder::messages
{

/// Numbers the rounds of messages that a leader sends within its term.
using round_id = strong_id<struct round_tag, std::uint64_t>;

/// Appends entries behind `previous`; without entries it is a heartbeat.
struct append_request
{
    term_id term;
    control::disk_id to_disk; ///< The receiver ignores the message on another disk.
    round_id round;
    log_index previous;
    term_id previous_term;
    std::vector<control::log_entry> entries;
    log_index committed;
};

/// Answers append_request after everything it tells of was synced.
struct append_reply
{
    term_id term;
    control::disk_id disk;
    round_id round; ///< Of the request; none if that was of an earlier term than `term`.
    bool matched = false;
    log_index last; ///< Last entry known to match, or a place to try next if none did.
};

/// Tells at once that a leader's message was received, if the answer to it has to wait for the
/// disk. It confirms the leader's lease, which rests on no disk, and nothing of the log.
struct round_received
{
    term_id term;
    control::disk_id disk;
    round_id round;
};

/// Asks for a vote, or whether a vote would be given (`trial`, the pre-vote).
struct vote_request
{
    term_id term;
    control::disk_id to_disk; ///< The receiver ignores the message on another disk.
    bool trial = false;
    log_index last;
    term_id last_term;
    /// The leader of the term before asked for this election and acts no longer, so that its lease
    /// binds nobody.
    bool handed_over = false;
};

/// Asks a voter that holds all entries to begin an election at once. The sender was the leader of
/// this term and does not act in it any more.
struct lead_handover
{
    term_id term;
    control::disk_id to_disk; ///< The receiver ignores the message on another disk.
};

/// Tells all control instances that the sender stops as planned, and its vote is to go to another
/// instance. Repeated until the sender's process ends.
struct stop_notice
{
};

/// Answers stop_notice.
struct stop_permission
{
    bool granted = false; ///< The sender has no vote any more, or nobody can take it.
};

/// Answers vote_request; a vote is synced before it is answered.
struct vote_reply
{
    term_id term; ///< The request's if granted, else the receiver's own.
    control::disk_id disk;
    bool trial = false;
    bool granted = false;
};

/// Tells the others of a start and asks whether this disk is known to be outdated.
struct start_request
{
    control::disk_id disk;
    /// The newest starts on the disk, oldest first; the last one is announced. A disk
    /// whose starts lack the one that another replica knows is older than that start.
    std::vector<control::start_nonce> starts;
    control::group_id group; ///< Zero on a disk that belongs to no group.
    bool blank = false;      ///< There is neither a group nor any entry on the disk.
    bool votes = false;      ///< The newest membership on the disk counts this disk.
};

/// What a replica knows of another one's start.
enum class start_standing : std::uint8_t
{
    known,    ///< The start was recorded; nothing newer of that disk is known.
    outdated, ///< The disk lacks what this replica saw of it: it must join anew.
    foreign   ///< The disk belongs to another group.
};

/// Answers start_request after the start's record was synced.
struct start_reply
{
    control::start_nonce nonce; ///< Of the start that was asked for.
    start_standing standing = start_standing::known;
    control::disk_id disk; ///< Of the answering replica.
    bool blank = false;    ///< The answering replica's disk is blank, too.
    term_id term;          ///< Of the answering replica.
    control::group_membership members;
};

/// One component's part of a snapshot, for a replica whose entries are gone.
struct snapshot_piece
{
    term_id term;
    control::disk_id to_disk;
    round_id round;
    term_id base_term;
    log_index base_index;
    control::group_membership members;
    std::uint32_t position = 0;
    std::uint32_t count = 0; ///< Pieces of the whole snapshot; an empty one has one piece.
    any_message part;        ///< Empty in the only piece of an empty snapshot.
};

/// Answers snapshot_piece; the last answer comes after the snapshot was synced.
struct snapshot_reply
{
    term_id term;
    control::disk_id disk;
    round_id round;
    log_index base_index;
    std::uint32_t next = 0; ///< Position of the piece that is expected next.
    bool installed = false;
};

/// Opens a leader's term in the log.
struct term_opened
{
};

/// Replaces the group's membership, from the moment it is appended.
struct membership_changed
{
    control::group_membership members;
};

} // namespace mulberryrudder::messages

#endif
