#include "membership.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

void forget(group_membership& from, replacement const& done)
{
    std::erase(from.pending, done);
}

void remember(group_membership& to, replacement const& step)
{
    if (std::find(to.pending.begin(), to.pending.end(), step) == to.pending.end())
        to.pending.push_back(step);
}

} // namespace

std::optional<group_membership> next_membership(group_membership const& now,
                                                replacement const& step, disk_id disk)
{
    auto next = now;
    auto const* const leaving = now.find(step.leaving);
    bool const joined = now.counts(step.joining, disk);
    bool const left = leaving == nullptr || (step.leaving == step.joining && joined);
    if (!left && (joined || now.voters.size() > 1))
    {
        std::erase_if(next.voters, [&](voter const& it) { return it.id == step.leaving; });
        remember(next, step);
    }
    else if (!joined)
        next.voters.push_back({.id = step.joining, .disk = disk, .peer = step.peer});
    if (next.counts(step.joining, disk) && (left || next.find(step.leaving) == nullptr))
        forget(next, step);
    if (next == now)
        return std::nullopt;
    return next;
}

} // namespace mulberryrudder::control
