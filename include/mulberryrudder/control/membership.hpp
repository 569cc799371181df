#ifndef MULBERRYRUDDER_CONTROL_MEMBERSHIP_HPP
#define MULBERRYRUDDER_CONTROL_MEMBERSHIP_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace mulberryrudder::control
{

/// Identifies the contents of a disk from its first write on. A replaced or
/// outdated disk gets a new one, so that votes and acknowledgements of the lost
/// contents never count again. Zero means none.
using disk_id = strong_id<struct disk_tag, std::uint64_t>;
/// Identifies a control group from its founding on. Zero means none.
using group_id = strong_id<struct group_tag, std::uint64_t>;

/// A control instance whose votes and acknowledgements count, by its disk.
struct voter
{
    instance_id id;
    disk_id disk;
    endpoint peer; ///< Empty while the settings tell where it is reached.

    friend bool operator==(voter const&, voter const&) = default;
};

/// An instance, or its own new disk, on the way to take a voter's place.
struct replacement
{
    instance_id leaving;
    instance_id joining;
    endpoint peer; ///< Of the joining instance; empty if the settings tell it.

    friend bool operator==(replacement const&, replacement const&) = default;
};

/// Who forms the control group. Two memberships that follow each other in the log
/// differ by one voter, so that their majorities share an instance.
struct group_membership
{
    group_id group; ///< Zero before the group was founded.
    std::vector<voter> voters;
    std::vector<replacement> pending; ///< Carried on by each leader until done.

    /// Returns the voter with this id, or null.
    voter const* find(instance_id id) const
    {
        auto const it = std::find_if(voters.begin(), voters.end(),
                                     [&](voter const& each) { return each.id == id; });
        return it == voters.end() ? nullptr : &*it;
    }

    /// Returns whether this disk of this instance has a vote.
    bool counts(instance_id id, disk_id disk) const
    {
        auto const* const it = find(id);
        return it != nullptr && it->disk == disk;
    }

    friend bool operator==(group_membership const&, group_membership const&) = default;
};

} // namespace mulberryrudder::control

#endif
