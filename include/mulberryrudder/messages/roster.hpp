#ifndef MULBERRYRUDDER_MESSAGES_ROSTER_HPP
#define MULBERRYRUDDER_MESSAGES_ROSTER_HPP

#include <mulberryrudder/messages/steering_difference.hpp>
#include <mulberryrudder/messages/target_summary.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mulberryrudder::messages
{

/// Says that a target announced itself again and nothing but the sequence changed since the last
/// whole notice of the same start.
struct unchanged_target
{
    target_id id;
    start_id start;
    sequence_id sequence;

    friend bool operator==(unchanged_target const&, unchanged_target const&) = default;
};

/// The same of an entry that reported again.
struct unchanged_entry
{
    instance_id id;
    boot_id boot;

    friend bool operator==(unchanged_entry const&, unchanged_entry const&) = default;
};

/// What a control instance tells the others every so often.
struct roster_exchange
{
    instance_description who;    ///< The sender.
    endpoint operators;          ///< Where the sender takes operators' requests.
    bool leads = false;          ///< The sender may decide orders.
    generation_id generation;    ///< Of its steering state.
    bool wants_steering = false; ///< It asks for a newer steering state.
    shared_steering steering;    ///< Only if the receiver is known to need it.
    boot_id boot;                ///< Start of the sender that `number` is of.
    sequence_id number;          ///< Of this message, for the acknowledgement.
    boot_id acknowledged_boot;   ///< Start of the receiver that `acknowledged` is of.
    sequence_id acknowledged;    ///< Newest number of the receiver that was taken in.
    std::vector<target_notice> targets;
    std::vector<unchanged_target> unchanged_targets;
    bool wants_targets = false;   ///< It asks for all targets that the receiver knows.
    bool has_all_targets = false; ///< `targets` are all that the sender knows.
    /// It asks for whole notices of the targets that announce themselves to the receiver, since it
    /// does not know all of them.
    bool missed_notices = false;
    bool intact = false;       ///< It held every leave at a time since its start, or its disk does.
    bool keeps_leaves = false; ///< `kept` is set.
    /// Newest number of the receiver whose leaves are on the disk of the sender.
    sequence_id kept;
    /// Time since the steering state of the sender was confirmed to contain every
    /// acknowledged order; nothing if it never was.
    std::optional<milliseconds> confirmed_age;
    std::vector<entry_notice> entries; ///< Those that reported since the last message.
    std::vector<unchanged_entry> unchanged_entries;
    /// Other control instances that are known; not in every message.
    std::vector<instance_description> control;
    /// Control instances whose messages reached the sender recently. The receiver need not
    /// forward what these send.
    std::vector<instance_id> heard;
};

/// What a control instance keeps on its disk, so that a leave that it acknowledged to the others
/// outlives a restart of all of them.
struct kept_roster
{
    bool intact = false;                       ///< As in a roster_exchange.
    std::vector<target_notice> targets;        ///< Those that leave or are gone.
    std::vector<instance_description> control; ///< Other control instances that are known.
};

/// A start of a target that said in an answer to an entry instance that it leaves.
struct departed_target
{
    target_id id;
    start_id start;

    friend bool operator==(departed_target const&, departed_target const&) = default;
};

/// An entry instance reports and asks for news; the answer may be held back until
/// there are some.
struct roster_poll
{
    entry_notice self;
    generation_id generation; ///< Of the steering state that it holds.
    boot_id known_boot;       ///< Start of the control instance that `known` is of.
    sequence_id known;        ///< Newest change of the roster that it holds.
    /// What it holds, told to an instance that did not answer the last report. Such a report
    /// is answered at once, with the parts of the roster that differ.
    std::optional<target_summary> held;
    /// It searches for an instance whose state is confirmed; the receiver need not report at
    /// once that its own is not.
    bool searching = false;
    /// It asks for the figures of the fleet, too: `control` and `entries`.
    bool wants_fleet = true;
    /// It can apply a difference to the steering state that it holds.
    bool takes_difference = false;
    std::vector<departed_target> departed; ///< Repeated until a report with them is answered.
};

/// The answer to a poll.
struct roster_update
{
    sequence_id poll; ///< Number of the report that is answered.
    boot_id boot;     ///< Start of the control instance that answers.
    sequence_id newest;
    /// Whether the control instance hears most of the others. One that does not may
    /// miss what they decide, so the entry is to ask another one.
    bool connected = true;
    /// Whether the steering state of the control instance was confirmed recently. Otherwise it
    /// may miss orders that were acknowledged since.
    bool current = true;
    std::optional<milliseconds> confirmed_age; ///< As in a roster_exchange.
    milliseconds held_for{0}; ///< Time between the arrival of the poll and its answer.
    /// A state that is newer than the one that the poll named: as a whole, or as the difference
    /// from that one. At most one of the two is set.
    shared_steering steering;
    std::optional<steering_difference> difference;
    std::vector<target_notice> targets;
    bool has_fleet = true; ///< The members below are set.
    std::vector<instance_description> control;
    std::uint32_t entries_in_domain = 1; ///< Ready ones in the asker's failure domain.
    std::uint32_t entries = 1;           ///< Ready ones in the fleet.
    /// The sender started a short time ago, so more entries may run than reported to it.
    bool entries_incomplete = false;
};

/// An entry instance asks a control instance how current it is; answered at once.
struct roster_probe
{
    instance_description who; ///< The sender, which the receiver may not know.
    boot_id boot;             ///< Start of the sender.
    sequence_id number;
};

/// The answer to a probe.
struct roster_probe_reply
{
    sequence_id number;       ///< Of the probe that is answered.
    generation_id generation; ///< Of the sender's steering state.
    bool connected = false;   ///< As in a roster_update.
    bool current = false;     ///< As in a roster_update.
};

} // namespace mulberryrudder::messages

#endif
