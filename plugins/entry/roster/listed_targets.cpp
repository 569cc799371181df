#include "listed_targets.hpp"

#include <tuple>

namespace mulberryrudder::entry
{

namespace
{

using messages::target_notice;
using messages::target_standing;

/// Targets that are gone are remembered up to this many, which is more than a fleet
/// replaces while a notice can be under way.
constexpr std::size_t most_gone = 4096;

auto order_of(target_notice const& it)
{
    return std::tuple(it.start, it.sequence, it.standing);
}

/// Returns whether two notices of a target differ in time only.
bool say_the_same(target_notice it, target_notice const& other)
{
    it.sequence = other.sequence;
    it.age = other.age;
    return it == other;
}

} // namespace

std::vector<target_notice> listed_targets::take(std::vector<target_notice> const& told, instant now)
{
    std::vector<target_notice> out;
    for (auto const& it : told)
        if (take_one(it, now))
            out.push_back(it);
    return out;
}

bool listed_targets::take_one(target_notice const& it, instant now)
{
    auto const known = listed_.find(it.id);
    if (known != listed_.end() && order_of(it) <= order_of(known->second.what))
        return false;
    if (auto const past = gone_.find(it.id); past != gone_.end())
    {
        if (order_of(it) <= order_of(past->second))
            return false;
        gone_.erase(past);
    }
    if (it.standing == target_standing::gone)
    {
        bool const listed = listed_.erase(it.id) != 0;
        gone_[it.id] = it;
        if (gone_.size() > most_gone)
            gone_.erase(gone_.begin());
        return listed;
    }
    bool const changed = known == listed_.end() || !say_the_same(it, known->second.what);
    auto const cold_until = it.cold_for > milliseconds(0) ? now + it.cold_for : instant{};
    listed_[it.id] = {.what = it, .cold_until = cold_until, .learned = now};
    return changed;
}

messages::target_summary listed_targets::summary(instant now) const
{
    messages::target_summary out;
    for (auto const& [id, it] : listed_)
        out.add(it.what, it.cold_until > now);
    return out;
}

} // namespace mulberryrudder::entry
