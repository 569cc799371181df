#include "control_table.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

bool control_table::add(instance_description const& who, bool kept, instant now)
{
    auto const [at, added] = rows_.try_emplace(who.id);
    auto& it = at->second;
    it.kept = it.kept || kept;
    if (added)
        it.heard = now;
    if (!added && it.who.peer == who.peer)
        return false;
    it.who = who;
    return true;
}

void control_table::heard(instance_id id, messages::roster_exchange const& it, boot_id own,
                          instant now)
{
    auto& to = rows_.at(id);
    to.who = it.who;
    to.operators = it.operators;
    to.leads = it.leads;
    to.heard = now;
    to.boot = it.boot;
    to.taken = it.number;
    // An acknowledgement of an earlier start of this instance says nothing of this one.
    to.acknowledged = it.acknowledged_boot == own ? it.acknowledged : sequence_id();
    to.generation = it.generation;
    to.wants_steering = it.wants_steering;
}

void control_table::expire(instant since)
{
    std::erase_if(rows_,
                  [since](auto const& it) { return !it.second.kept && it.second.heard < since; });
}

bool control_table::is_majority(std::size_t count) const
{
    return (introduced_ || rows_.empty()) && count * 2 > size();
}

bool control_table::held_by_majority(sequence_id number) const
{
    return is_majority(holders(number));
}

std::size_t control_table::holders(sequence_id number) const
{
    auto const held =
        std::count_if(rows_.begin(), rows_.end(),
                      [&](auto const& it) { return it.second.acknowledged >= number; });
    return static_cast<std::size_t>(held) + 1;
}

bool control_table::held_by_majority(generation_id it, generation_id own) const
{
    auto const held = std::count_if(rows_.begin(), rows_.end(),
                                    [&](auto const& each) { return each.second.generation >= it; });
    return is_majority(static_cast<std::size_t>(held + (own >= it)));
}

bool control_table::hears_majority(instant since) const
{
    auto const heard = std::count_if(rows_.begin(), rows_.end(),
                                     [since](auto const& it) { return it.second.heard >= since; });
    return is_majority(static_cast<std::size_t>(heard + 1));
}

std::optional<endpoint> control_table::leader_since(instant since) const
{
    std::optional<endpoint> out;
    auto latest = since;
    for (auto const& [id, it] : rows_)
    {
        if (!it.leads || it.heard < latest || it.operators.port == 0)
            continue;
        latest = it.heard;
        out = it.operators;
    }
    return out;
}

std::vector<instance_description> control_table::known_since(instant since) const
{
    std::vector<instance_description> out;
    for (auto const& [id, it] : rows_)
        if (it.heard >= since)
            out.push_back(it.who);
    return out;
}

} // namespace mulberryrudder::control
