#include "control_table.hpp"

#include <mulberryrudder/control/steering.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

bool was_heard_since(control_table::row const& it, instant cutoff)
{
    return it.is_heard && it.last_message >= cutoff;
}

} // namespace

bool control_table::add(instance_description const& description, bool is_contact, instant now)
{
    auto const [position, added] = rows_.try_emplace(description.id);
    auto& it = position->second;
    it.is_contact = it.is_contact || is_contact;
    it.last_named = now;
    if (!added && it.description.peer == description.peer)
        return false;
    it.description = description;
    return true;
}

void control_table::restore(instance_id id, instant now)
{
    rows_.at(id).restored_at = now;
}

void control_table::record_exchange(instance_id sender, messages::roster_exchange const& exchange,
                                    boot_id own_boot, sequence_id newest_sent, instant now)
{
    auto& known = rows_.at(sender);
    if (known.boot != exchange.boot)
        known.last_to_earlier_start = newest_sent;
    known.description = exchange.who;
    known.operator_address = exchange.operators;
    known.leads = exchange.leads;
    known.is_heard = true;
    known.is_counted = true;
    known.last_message = now;
    known.boot = exchange.boot;
    known.received = exchange.number;
    // An acknowledgement of messages of an earlier start does not apply to this start.
    bool const is_acknowledged = exchange.acknowledged_boot == own_boot &&
                                 exchange.acknowledged > known.last_to_earlier_start;
    known.acknowledged = is_acknowledged ? exchange.acknowledged : sequence_id();
    // An instance of an earlier version keeps leaves in memory only, and says no more.
    auto const kept = exchange.keeps_leaves ? exchange.kept : exchange.acknowledged;
    bool const is_kept = is_acknowledged && kept > known.last_to_earlier_start;
    known.kept = is_kept ? std::min(kept, exchange.acknowledged) : sequence_id();
    known.generation = exchange.generation;
    known.wants_steering = exchange.wants_steering;
    known.wants_targets = exchange.wants_targets;
    known.missed_notices = known.missed_notices || exchange.missed_notices;
    known.intact = exchange.intact;
    known.heard = exchange.heard;
}

void control_table::expire(instant cutoff, instant named_cutoff)
{
    auto const is_gone = [&](row const& it)
    {
        if (it.is_heard)
            return it.last_message < cutoff;
        return it.restored_at ? *it.restored_at < cutoff : it.last_named < named_cutoff;
    };
    for (auto& [id, it] : rows_)
        if (is_gone(it))
            it.is_counted = it.intact = false;
    std::erase_if(rows_,
                  [](auto const& it) { return !it.second.is_contact && !it.second.is_counted; });
}

template <class Property>
std::size_t control_table::count_others(Property const& property) const
{
    auto const count =
        std::count_if(rows_.begin(), rows_.end(),
                      [&](auto const& it) { return it.second.is_counted && property(it.second); });
    return static_cast<std::size_t>(count);
}

std::size_t control_table::size() const
{
    return count_others([](row const&) { return true; }) + 1;
}

std::optional<std::size_t> control_table::total() const
{
    return members_received_ || rows_.empty() ? std::optional(size()) : std::nullopt;
}

bool control_table::is_majority(std::size_t count) const
{
    return state_spread{.holders = count, .total = total()}.is_majority();
}

std::size_t control_table::kept_count(sequence_id number, bool is_kept_here) const
{
    auto const others = count_others([number](row const& it) { return it.kept >= number; });
    return others + (is_kept_here ? 1 : 0);
}

std::size_t control_table::holder_count(generation_id generation, generation_id own) const
{
    auto const others =
        count_others([generation](row const& it) { return it.generation >= generation; });
    return others + (own >= generation ? 1 : 0);
}

generation_id control_table::newest_generation() const
{
    generation_id out;
    for (auto const& [id, it] : rows_)
        out = std::max(out, it.generation);
    return out;
}

bool control_table::any_intact() const
{
    return std::any_of(rows_.begin(), rows_.end(), [](auto const& it) { return it.second.intact; });
}

std::size_t control_table::reachable_count(instant cutoff) const
{
    return count_others([cutoff](row const& it) { return was_heard_since(it, cutoff); }) + 1;
}

bool control_table::is_majority_reachable(instant cutoff) const
{
    return is_majority(reachable_count(cutoff));
}

std::optional<instant> control_table::last_heard(instance_id id) const
{
    auto const found = rows_.find(id);
    return found != rows_.end() && found->second.is_heard
               ? std::optional(found->second.last_message)
               : std::nullopt;
}

control_table::row const* control_table::leader(instant cutoff) const
{
    row const* out = nullptr;
    auto latest = cutoff;
    for (auto const& [id, it] : rows_)
    {
        if (!it.leads || it.last_message < latest || it.operator_address.port == 0)
            continue;
        latest = it.last_message;
        out = &it;
    }
    return out;
}

std::vector<instance_description> control_table::instances_since(instant cutoff) const
{
    std::vector<instance_description> out;
    for (auto const& [id, it] : rows_)
        if (was_heard_since(it, cutoff))
            out.push_back(it.description);
    return out;
}

std::vector<instance_description> control_table::known_instances() const
{
    std::vector<instance_description> out;
    for (auto const& [id, it] : rows_)
        if ((it.is_heard || it.restored_at) && it.is_counted)
            out.push_back(it.description);
    return out;
}

std::vector<instance_id> control_table::heard_since(instant cutoff) const
{
    std::vector<instance_id> out;
    for (auto const& [id, it] : rows_)
        if (was_heard_since(it, cutoff))
            out.push_back(id);
    return out;
}

} // namespace mulberryrudder::control
