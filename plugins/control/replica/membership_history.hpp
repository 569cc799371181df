#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HISTORY_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HISTORY_HPP

#include <mulberryrudder/control/log_types.hpp>

#include <vector>

namespace mulberryrudder::control
{

/// Returns how many of a group's voters form a majority.
std::size_t majority(group_membership const& members);

/// Holds the memberships in the log. The newest one is in force, committed or not.
///
/// Thread safety: one owner.
class membership_history
{
public:
    /// Forgets all memberships but the one of a snapshot.
    void reset(log_index index, group_membership members);

    /// Takes the membership of an appended entry; ignores other commands.
    void append(log_entry const& it);

    /// Forgets the memberships of the entries from `first` on.
    void cut_from(log_index first);

    /// Forgets what is older than the membership in force at `base`.
    void compact(log_index base);

    group_membership const& newest() const { return all_.back().members; }
    log_index newest_index() const { return all_.back().index; }

    /// Returns the membership that was in force after the entry at `index`.
    group_membership const& at(log_index index) const;

private:
    struct element
    {
        log_index index;
        group_membership members;
    };

    std::vector<element> all_{element{}}; ///< Never empty, in the order of the log.
};

} // namespace mulberryrudder::control

#endif
