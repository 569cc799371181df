#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_TARGET_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_TARGET_TABLE_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::control
{

/// Keeps the newest notice of each target, with a number that grows by each change
/// that entries must hear of.
///
/// Thread safety: one owner.
class target_table
{
public:
    /// Takes a notice in; returns whether entries must hear of it. Older notices, and
    /// those of a start whose address a later start took, change nothing.
    bool take(messages::target_notice const& it, instant now);

    /// Notes that a target ended its work, whatever else was heard of that start. A start
    /// that is not known here is noted too, since others may know it. Returns its notice,
    /// or null if the target is unknown and names no start.
    messages::target_notice const* take_leave(target_id const& id, std::optional<start_id> start,
                                              instant now);

    /// Marks targets as gone that were heard last before `since`, and forgets those
    /// that have been gone for long.
    void expire(instant since, instant now);

    /// Moves all times of hearing, after this process itself stood still.
    void forgive(span gap);

    sequence_id newest() const { return newest_; }

    /// Returns what changed behind a number, with ages as of now; of that only the parts
    /// in which the asker holds something else, if it says what it holds.
    std::vector<messages::target_notice>
    changed_since(sequence_id since, std::optional<messages::target_summary> const& held,
                  instant now) const;

    /// Returns the targets that are to be told to other control instances: those that
    /// were heard since the last call, and those that began to leave lately.
    std::vector<messages::target_notice> take_fresh(instant now);

    /// Returns the versions of a service's serving targets, the oldest start first.
    std::vector<version_id> versions_of(service_id const& service) const;

    /// Returns the slots of a service's serving targets of one version.
    slots capacity_of(service_id const& service, version_id const& version) const;

private:
    struct row
    {
        messages::target_notice what;
        instant heard;
        sequence_id changed;
        instant told_until; ///< Until when other control instances are told again.
    };

    void retire_others_at(messages::target_notice const& winner, instant now);
    bool is_outdated(messages::target_notice const& it) const;
    static void end(messages::target_notice& it, start_id start);
    void mark(row& it, messages::target_standing standing, instant now);
    static messages::target_notice aged(row const& it, instant now);
    messages::target_summary summary(instant now) const;

    std::map<target_id, row> rows_;
    std::set<target_id> fresh_;
    sequence_id newest_;
};

} // namespace mulberryrudder::control

#endif
