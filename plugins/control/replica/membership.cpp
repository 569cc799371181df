#include "membership.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

void remove_pending(group_membership& members, replacement const& change)
{
    std::erase(members.pending, change);
}

void add_pending(group_membership& members, replacement const& change)
{
    if (std::find(members.pending.begin(), members.pending.end(), change) == members.pending.end())
        members.pending.push_back(change);
}

} // namespace

std::optional<group_membership> next_membership(group_membership const& current,
                                                replacement const& change, disk_id disk,
                                                bool leaving_works)
{
    auto next = current;
    auto const* const leaving = current.find(change.leaving);
    bool const joined = current.counts(change.joining, disk);
    bool const left = leaving == nullptr || (change.leaving == change.joining && joined);
    bool const joins_first = leaving_works || current.voters.size() == 1;
    if (!left && (joined || !joins_first))
    {
        std::erase_if(next.voters, [&](voter const& it) { return it.id == change.leaving; });
        add_pending(next, change);
    }
    else if (!joined)
        next.voters.push_back({.id = change.joining, .disk = disk, .peer = change.peer});
    if (next.counts(change.joining, disk) && (left || next.find(change.leaving) == nullptr))
        remove_pending(next, change);
    if (next == current)
        return std::nullopt;
    return next;
}

} // namespace mulberryrudder::control
