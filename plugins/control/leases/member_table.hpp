#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEASES_MEMBER_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEASES_MEMBER_TABLE_HPP

#include <mulberryrudder/messages/lease.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::control
{

/// Lists the entry instances that are known to this leader, in versions, so that a
/// renewal gets only what changed since the list it holds.
///
/// Thread safety: one owner.
class member_table
{
public:
    /// Enters a member's new state; an equal state makes no new version.
    void set(messages::member const& it);

    /// Takes a member off the list.
    void remove(instance_id id);

    /// Forgets all: a new term begins.
    void clear();

    messages::member const* find(instance_id id) const;
    std::map<instance_id, messages::member> const& all() const { return members_; }

    /// Adds to a grant what changed since `held`; the whole list if that is 0 or unknown.
    void add_changes(messages::member_version held, messages::lease_grant& out) const;

private:
    messages::member_version next(instance_id id);

    messages::member_version version_;
    std::map<instance_id, messages::member> members_;
    std::map<instance_id, messages::member_version> changed_at_;
    std::map<messages::member_version, instance_id> changes_; ///< The last change of each.
};

} // namespace mulberryrudder::control

#endif
