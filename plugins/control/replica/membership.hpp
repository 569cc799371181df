#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_MEMBERSHIP_HPP

#include <mulberryrudder/control/membership.hpp>

#include <optional>

namespace mulberryrudder::control
{

/// Returns the membership one step further in a replacement, for a joining
/// instance that holds the full state on `disk`; nothing if it is done.
///
/// The leaving voter goes first, so that the group never counts a lost disk among
/// more voters than before; a last voter goes only after the other joined.
std::optional<group_membership> next_membership(group_membership const& now,
                                                replacement const& step, disk_id disk);

} // namespace mulberryrudder::control

#endif
