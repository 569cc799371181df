#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HISTORY_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HISTORY_HPP

#include <mulberryrudder/control/log_types.hpp>

#include <vector>

namespace mulberryrudder::control
{

/// Returns the number of voters that form a majority.
std::size_t majority(group_membership const& members);

/// Holds the memberships in the log. The newest one applies, committed or not.
///
/// Thread safety: one owner.
class membership_history
{
public:
    /// Replaces all memberships by a snapshot's.
    void reset(log_index index, group_membership members);

    /// Adds the membership of an appended entry; ignores other commands.
    void append(log_entry const& entry);

    /// Removes the memberships of the entries from `first` on.
    void truncate_from(log_index first);

    /// Removes the memberships older than the one that applies at `base`.
    void compact(log_index base);

    group_membership const& newest() const { return history_.back().members; }
    log_index newest_index() const { return history_.back().index; }

    /// Returns the membership that applied after the entry at `index`.
    group_membership const& at(log_index index) const;

private:
    struct logged_membership
    {
        log_index index;
        group_membership members;
    };

    std::vector<logged_membership> history_{
        logged_membership{}}; ///< Never empty; ordered by index.
};

} // namespace mulberryrudder::control

#endif
