#include "held_state.hpp"

#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/fleet/config_delta.hpp>

namespace mulberryrudder::entry
{

void held_config::replace(std::shared_ptr<fleet_config const> newer)
{
    check_invariant(newer->generation > generation(), "an entry's generation only grows");
    config_ = std::move(newer);
}

void held_config::take(std::shared_ptr<fleet_config const> const& whole,
                       std::shared_ptr<messages::config_delta const> const& delta)
{
    if (whole && whole->generation > generation())
        replace(whole);
    else if (delta && delta->base == generation() && delta->changed.generation > generation())
        replace(std::make_shared<fleet_config const>(fleet::changed(get(), *delta)));
}

std::vector<instance_description> held_members::take(messages::lease_grant const& it)
{
    bool const whole = it.members_base == messages::member_version{};
    if (!whole && (it.term != term_ || it.members_base != version_))
    {
        version_ = {};
        return {};
    }
    std::vector<instance_description> moved;
    auto const before = members_;
    if (whole)
        members_.clear();
    for (auto const& member : it.members)
    {
        auto const old = before.find(member.where.id);
        if (old == before.end() || !(old->second.where == member.where))
            moved.push_back(member.where);
        members_.insert_or_assign(member.where.id, member);
    }
    for (auto const& id : it.members_gone)
        members_.erase(id);
    term_ = it.term;
    version_ = it.members_now;

    std::map<domain_id, slots> free;
    for (auto const& domain : it.free)
        free.emplace(domain.domain, domain.free);
    list_.clear();
    for (auto& [id, member] : members_)
    {
        auto const found = free.find(member.where.domain);
        member.free = found == free.end() ? slots{} : found->second;
        list_.push_back(member);
    }
    return moved;
}

} // namespace mulberryrudder::entry
