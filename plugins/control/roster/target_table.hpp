#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_TARGET_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_TARGET_TABLE_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::control
{

/// A notice to forward to other control instances.
struct outgoing_notice
{
    messages::target_notice notice;
    /// Instance that sent the notice; nothing if the target itself did.
    std::optional<instance_id> source;
    /// For the end of a target: the first exchange that contains it. It is forwarded to each
    /// instance until that one acknowledges this exchange or a later one.
    std::optional<sequence_id> first_exchange;
    /// The receivers of earlier notices need only the sequence.
    bool unchanged = false;
};

/// Newest notice of each target, and the number of the last change that entries must
/// receive. The number increases with each such change.
///
/// Thread safety: one owner.
class target_table
{
public:
    /// Applies a notice; returns whether entries must receive it. Ignores notices that are
    /// older than the known one, and those of a start whose address a later start uses.
    /// `source` is the control instance that sent it; nothing if the target itself did.
    bool update(messages::target_notice const& notice, std::optional<instance_id> source,
                instant now);

    /// Returns whether a start of a target, or a later one, is known, so that an announcement which
    /// changed nothing can be applied.
    bool is_known(target_id const& id, start_id start) const;

    /// Applies that another control instance received an announcement which changed nothing.
    /// Returns whether entries must receive it, such as for a target that counted as gone here.
    /// Ignores starts that are not known.
    bool refresh(messages::unchanged_target const& unchanged, instance_id source, instant now);

    /// Records that a start of a target ended, regardless of other notices of that start. A
    /// start that is unknown here is recorded too, since other instances may know it.
    /// Returns the target's notice, or null if the target is unknown and `start` is empty.
    messages::target_notice const* deregister(target_id const& id, std::optional<start_id> start,
                                              instant now);

    /// Records that a start of a target told an entry instance in an answer that it leaves.
    /// Returns the target's notice if it counted as serving, else null. Only the first such report
    /// of a start has an effect, so that a target that says it leaves and goes on announcing that
    /// it serves does not change its standing with each report.
    messages::target_notice const* depart(target_id const& id, start_id start, instant now);

    /// Returns the targets that said that they leave, or were said to have left.
    std::vector<messages::target_notice> leaves(instant now) const;

    /// Returns a number that increases with each change of leaves().
    std::uint64_t leaves_version() const { return leaves_version_; }

    /// Takes over a leave that an earlier start of this instance knew, as if it had just come.
    void restore(messages::target_notice leave, instant now);

    /// Marks targets as gone whose last notice is older than `cutoff`, and removes those
    /// whose last notice is older than the retention time of gone targets.
    void expire(instant cutoff, instant now);

    /// Moves the time of each last notice forward by a pause of this process, in which it
    /// could not receive notices.
    void extend_expiry(span pause);

    /// Returns the newest notice of a target, or null.
    messages::target_notice const* find(target_id const& id) const;

    sequence_id newest_change() const { return newest_change_; }

    /// Returns the notices that changed after the change number `since`, with their current
    /// ages. If `held` is given, omits the parts of the table in which it shows that the
    /// requester holds the same.
    std::vector<messages::target_notice>
    changed_since(sequence_id since, std::optional<messages::target_summary> const& held,
                  instant now) const;

    /// Returns the notices to forward with the exchange of this number: those that were
    /// updated since the last call, and those of targets that began to leave recently.
    std::vector<outgoing_notice> take_unforwarded(sequence_id exchange, instant now);

    /// Returns the notices of targets that announce themselves to this instance.
    std::vector<messages::target_notice> own(instant now) const;

    /// Returns all notices, also those of targets that are gone.
    std::vector<messages::target_notice> all(instant now) const;

    /// Returns the versions of a service's serving targets, the oldest start first.
    std::vector<version_id> versions_of(service_id const& service) const;

    /// Returns the slots of a service's serving targets of one version.
    slots capacity_of(service_id const& service, version_id const& version) const;

private:
    struct row
    {
        messages::target_notice notice;
        instant last_notice;
        sequence_id change_number; ///< Of the last change that entries must receive.
        instant forward_until;     ///< Until when the notice is forwarded repeatedly.
        /// First exchange that contains the end of the target.
        std::optional<sequence_id> first_exchange;
        std::optional<instance_id> source; ///< Of the newest notice.
        std::optional<start_id> departed;  ///< Start that an entry reported to leave.
        bool has_left = false;             ///< The target, or an instance, said that it leaves.
        instant whole_due; ///< When the notice is forwarded whole although nothing changed.
    };

    void set_notice(row& it, messages::target_notice const& notice);
    /// Records whether a notice that is to be applied tells of a leave.
    void note_leave(row& known, messages::target_notice const& notice);
    void forget_address(messages::target_notice const& notice);
    void retire_replaced_targets(messages::target_notice const& replacement, instant now);
    bool is_superseded(messages::target_notice const& notice) const;
    static void end_start(messages::target_notice& notice, start_id start);
    void set_standing(row& it, messages::target_standing standing, instant now);
    static messages::target_notice current_notice(row const& it, instant now);
    static messages::target_notice forwarded_notice(row const& it, instant now);
    messages::target_summary summary(instant now) const;

    std::map<target_id, row> rows_;
    std::map<endpoint, std::set<target_id>> ids_at_; ///< Targets by the address of their notice.
    std::set<target_id> unforwarded_;
    sequence_id newest_change_;
    std::uint64_t leaves_version_ = 0;
};

} // namespace mulberryrudder::control

#endif
