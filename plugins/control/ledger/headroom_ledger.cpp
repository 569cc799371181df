#include "headroom_ledger.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <optional>

namespace mulberryrudder
{

namespace
{

/// Weights of an entry in the division of other domains' room.
constexpr std::int64_t calm_weight = 1;
constexpr std::int64_t crowded_weight = 8;

} // namespace

/// Covers both amounts.
inline slots largest(slots a, slots b)
{
    return std::max(a, b);
}

} // namespace mulberryrudder

namespace mulberryrudder::control
{

void headroom_ledger::lead(instant, instant settled)
{
    follow();
    settled_ = settled;
}

void headroom_ledger::follow()
{
    domains_.clear();
    holders_.clear();
    granted_over_.clear();
    weight_ = 0;
}

slots headroom_ledger::free_in(domain_id const& where) const
{
    auto const it = domains_.find(where);
    return it == domains_.end() ? slots{} : it->second.all_free;
}

void headroom_ledger::add_up(domain& of)
{
    of.all_free = {};
    for (auto const& [entry, free] : of.free)
        of.all_free += free;
}

slots headroom_ledger::granted_into(domain_id const& where) const
{
    auto const it = domains_.find(where);
    return it == domains_.end() ? slots{} : it->second.granted;
}

void headroom_ledger::weigh(holder& it, std::int64_t weight)
{
    weight_ += weight - it.weight;
    domains_[it.where.domain].weight += weight - it.weight;
    it.weight = weight;
}

void headroom_ledger::report(messages::renew_request const& asked)
{
    auto& from = holders_[asked.self.id];
    if (from.where.domain != asked.self.domain)
    {
        weigh(from, 0);
        from.where = asked.self;
    }
    domains_[asked.self.domain].region = asked.self.region;
    auto weight = calm_weight;
    for (auto const& it : asked.load)
    {
        auto const free = std::max(it.usable - it.busy, slots{});
        auto const found = domains_.find(it.domain);
        if (found == domains_.end())
            continue;
        found->second.free.insert_or_assign(asked.self.id, free);
        add_up(found->second);
        if (it.domain == asked.self.domain && free <= part_of(it.usable, settings_.crowded_below))
            weight = crowded_weight;
    }
    weigh(from, asked.stopping ? 0 : weight);
}

slots headroom_ledger::target(holder const& it, domain_id const& into) const
{
    auto const& there = domains_.at(into);
    auto const others = weight_ - there.weight;
    if (others <= 0)
        return {};
    auto const room = part_of(free_in(into), settings_.spill_share);
    return slots(room.count() * it.weight / others);
}

slots headroom_ledger::link_room(holder const& from, region_id const& to) const
{
    link_id const link{from.where.region, to};
    auto const cap = config_->link_caps.find(link);
    if (link.from == link.to || cap == config_->link_caps.end())
        return slots(INT64_MAX);
    auto const most = slots(cap->second.count() / settings_.link_use.count());
    auto const used = granted_over_.find(link);
    return std::max(most - (used == granted_over_.end() ? slots{} : used->second), slots{});
}

void headroom_ledger::recount(holder const& of, domain_id const& into, share& it)
{
    auto& there = domains_.at(into);
    auto const most = it.grants.most();
    there.granted += most - it.counted;
    granted_over_[{of.where.region, there.region}] += most - it.counted;
    it.counted = most;
}

slots headroom_ledger::decide(holder const& of, domain_id const& into, share const& it,
                              instant now) const
{
    if (now < settled_)
        return {};
    auto const& there = domains_.at(into);
    auto const room = std::max(free_in(into) - there.granted, slots{});
    auto const more = std::min(room, link_room(of, there.region));
    return std::min(target(of, into), it.counted + more);
}

void headroom_ledger::grant_into(domain_id const& into, messages::renew_request const& asked,
                                 instant until, instant now, messages::lease_grant& out)
{
    auto& of = holders_.at(asked.self.id);
    auto& it = of.shares[into];
    it.grants.expire(now);
    it.grants.confirm(asked.accepted);
    recount(of, into, it);
    auto const before = granted_into(into);
    auto const running = decide(of, into, it, now);
    it.grants.add(asked.sequence, until, running);
    recount(of, into, it);
    check_invariant(granted_into(into) <= std::max(before, free_in(into)),
                    "headroom is raised only within the domain's free slots");
    if (running > slots{})
        out.headroom.push_back({.to = into, .running = running});
    if (it.grants.empty())
        of.shares.erase(into);
}

void headroom_ledger::grant(messages::renew_request const& asked, instant until, context& with,
                            messages::lease_grant& out)
{
    report(asked);
    for (auto const& [id, it] : domains_)
    {
        if (id != asked.self.domain)
            grant_into(id, asked, until, with.now, out);
        if (auto const free = free_in(id); free > slots{})
            out.free.push_back({.domain = id, .free = free});
    }
}

void headroom_ledger::restarted(instance_id entry, instant now)
{
    auto const found = holders_.find(entry);
    if (found == holders_.end())
        return;
    for (auto& [into, it] : found->second.shares)
    {
        it.grants.expire(now);
        it.grants.orphan();
        recount(found->second, into, it);
    }
}

void headroom_ledger::lapsed(instance_id entry, instant)
{
    auto const found = holders_.find(entry);
    if (found == holders_.end())
        return;
    for (auto& [into, it] : found->second.shares)
    {
        it.grants.clear();
        recount(found->second, into, it);
    }
    weigh(found->second, 0);
    for (auto& [id, it] : domains_)
        if (it.free.erase(entry) > 0)
            add_up(it);
    holders_.erase(found);
}

} // namespace mulberryrudder::control
