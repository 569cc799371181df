#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HPP

#include <mulberryrudder/control/membership.hpp>

#include <optional>

namespace mulberryrudder::control
{

/// Returns the membership after the next step of a replacement; std::nullopt if the
/// replacement is complete. The joining instance must hold the full state on `disk`.
///
/// A leaving voter that does not work is removed first, so that a lost disk never counts in a
/// larger group than before. One that works, and the only voter of a group, is removed after the
/// other joined: meanwhile the group bears as many losses as before.
std::optional<group_membership> next_membership(group_membership const& current,
                                                replacement const& change, disk_id disk,
                                                bool leaving_works);

} // namespace mulberryrudder::control

#endif
