#include "member_table.hpp"

namespace mulberryrudder::control
{

namespace
{

bool same(messages::member const& a, messages::member const& b)
{
    return a.where == b.where && a.live == b.live && a.stopping == b.stopping;
}

} // namespace

messages::member_version member_table::next(instance_id id)
{
    version_ = messages::member_version(version_.value() + 1);
    if (auto const old = changed_at_.find(id); old != changed_at_.end())
        changes_.erase(old->second);
    changed_at_.insert_or_assign(id, version_);
    changes_.emplace(version_, id);
    return version_;
}

void member_table::set(messages::member const& it)
{
    auto const* const old = find(it.where.id);
    if (old != nullptr && same(*old, it))
        return;
    members_.insert_or_assign(it.where.id, it);
    next(it.where.id);
}

void member_table::remove(instance_id id)
{
    if (members_.erase(id) > 0)
        next(id);
}

void member_table::clear()
{
    version_ = {};
    members_.clear();
    changed_at_.clear();
    changes_.clear();
}

messages::member const* member_table::find(instance_id id) const
{
    auto const it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

void member_table::add_changes(messages::member_version held, messages::lease_grant& out) const
{
    out.members_now = version_;
    if (held == messages::member_version{} || held > version_)
    {
        for (auto const& [id, it] : members_)
            out.members.push_back(it);
        return;
    }
    out.members_base = held;
    for (auto it = changes_.upper_bound(held); it != changes_.end(); ++it)
    {
        if (auto const* const changed = find(it->second))
            out.members.push_back(*changed);
        else
            out.members_gone.push_back(it->second);
    }
}

} // namespace mulberryrudder::control
