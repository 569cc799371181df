#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_CONTROL_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_CONTROL_TABLE_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <map>
#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// State of the other control instances: their addresses, which messages they acknowledged,
/// and which of them leads.
///
/// Thread safety: one owner.
class control_table
{
public:
    /// One other control instance.
    struct row
    {
        instance_description description;
        endpoint operator_address; ///< Where it accepts operators' requests.
        bool leads = false;
        bool is_contact = false; ///< Named in the settings; messages to it never end.
        bool is_counted = true;  ///< False for a contact that is gone.
        bool is_heard = false;   ///< A message of its own arrived.
        instant last_message;    ///< When its last message arrived.
        instant last_named;      ///< When another instance named it last.
        /// When an earlier start's knowledge of it was restored; nothing if it was not.
        std::optional<instant> restored_at;
        boot_id boot;             ///< Start of that instance to which `received` belongs.
        sequence_id received;     ///< Newest number of its messages that arrived here.
        sequence_id acknowledged; ///< Newest number of this instance's messages it received.
        /// Newest number of this instance's messages whose leaves it will not forget.
        sequence_id kept;
        generation_id generation;       ///< Of its steering state.
        bool wants_steering = false;    ///< It requested the steering state.
        bool wants_targets = false;     ///< It requested all targets.
        bool missed_notices = false;    ///< It requested whole notices.
        bool intact = false;            ///< Its table of targets counts for others.
        std::vector<instance_id> heard; ///< Instances whose messages reach it.
        /// Newest message to it when its start was noticed. It may acknowledge older ones
        /// although only its earlier start knows their contents.
        sequence_id last_to_earlier_start;
    };

    /// Adds an instance; returns whether its address is new.
    bool add(instance_description const& description, bool is_contact, instant now);

    /// Records that an earlier start of this instance knew an instance. It counts as long as one
    /// whose last message arrived now, but is not heard. Precondition: the instance was added.
    void restore(instance_id id, instant now);

    /// Records the content of an instance's message. `own_boot` is the boot id of this
    /// instance, `newest_sent` the number of its newest message. Precondition: the sender was
    /// added.
    void record_exchange(instance_id sender, messages::roster_exchange const& exchange,
                         boot_id own_boot, sequence_id newest_sent, instant now);

    /// Records that another instance sent its list of control instances. Until then, an
    /// instance that has just started knows too few instances to determine a majority.
    void mark_members_received() { members_received_ = true; }

    /// Removes instances whose last message is older than `cutoff`. One that sent none is removed
    /// once no other instance has named it since `named_cutoff`. Contacts stay, but do not count
    /// until they are heard. Precondition: the steering state is confirmed, so that of two groups
    /// that are cut off from each other only the leader's forgets the other one. If both did, each
    /// would become a majority of those that it remembers.
    void expire(instant cutoff, instant named_cutoff);

    std::map<instance_id, row>& rows() { return rows_; }

    /// Returns how many of the known instances will not forget the leaves in the message with this
    /// number. `is_kept_here` is whether this instance counts.
    std::size_t kept_count(sequence_id number, bool is_kept_here) const;

    /// Returns whether `count` is more than half of the known instances.
    bool is_majority(std::size_t count) const;

    /// Returns the number of known instances, including this one.
    std::size_t size() const;

    /// Returns the number of all instances; nothing until another one sent its list of them.
    std::optional<std::size_t> total() const;

    /// Returns how many of the known instances, including this one, hold the steering state of
    /// this generation or a newer one. `own` is this instance's generation.
    std::size_t holder_count(generation_id generation, generation_id own) const;

    /// Returns how many of the known instances, including this one, sent a message that arrived
    /// at or after `cutoff`.
    std::size_t reachable_count(instant cutoff) const;

    /// Returns the newest generation of the steering state that another instance reported.
    generation_id newest_generation() const;

    /// Returns whether another instance has a table of targets that counts for others.
    bool any_intact() const;

    /// Returns whether messages from more than half of the known instances, including this
    /// one, arrived at or after `cutoff`.
    bool is_majority_reachable(instant cutoff) const;

    /// Returns when the last message of an instance arrived; nothing if none did.
    std::optional<instant> last_heard(instance_id id) const;

    /// Returns the instance that most recently reported, at or after `cutoff`, that it leads, or
    /// null. The pointer holds until the next change of the table.
    row const* leader(instant cutoff) const;

    /// Returns the instances whose last message arrived at or after `cutoff`.
    std::vector<instance_description> instances_since(instant cutoff) const;

    /// Returns the instances of which a message arrived, here or at an earlier start, and that are
    /// not removed. These are named to other instances: one that restarts while it is cut off from
    /// the rest must count the rest.
    std::vector<instance_description> known_instances() const;

    /// Returns the ids of the instances whose last message arrived at or after `cutoff`.
    std::vector<instance_id> heard_since(instant cutoff) const;

private:
    /// Returns the number of other instances that count and have a property.
    template <class Property>
    std::size_t count_others(Property const& property) const;

    std::map<instance_id, row> rows_;
    bool members_received_ = false;
};

} // namespace mulberryrudder::control

#endif
