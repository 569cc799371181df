#include "listed_targets.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mulberryrudder::entry
{

namespace
{

using messages::target_notice;
using messages::target_standing;

/// Limit of the stored notices of gone targets. It exceeds the number of targets that a
/// fleet replaces while a notice is in transit.
constexpr std::size_t max_gone = 4096;
/// Limit of the stored starts that leave; exceeds the number of targets of a fleet.
constexpr std::size_t max_leaving = 4096;

auto order_of(target_notice const& notice)
{
    return std::tuple(notice.start, notice.sequence, notice.standing);
}

/// Returns whether two notices of a target differ at most in sequence and age.
bool equal_except_time(target_notice notice, target_notice const& other)
{
    notice.sequence = other.sequence;
    notice.age = other.age;
    return notice == other;
}

} // namespace

std::vector<target_notice> listed_targets::update(std::vector<target_notice> const& notices,
                                                  instant now)
{
    std::vector<target_notice> out;
    for (auto it : notices)
    {
        auto const leaving = leaving_starts_.find(it.id);
        if (leaving != leaving_starts_.end() && leaving->second == it.start)
            it.standing = std::max(it.standing, target_standing::leaving);
        if (update_target(it, now))
            out.push_back(std::move(it));
    }
    return out;
}

target_notice const* listed_targets::mark_leaving(target_id const& id)
{
    auto const known = listed_.find(id);
    if (known == listed_.end() || known->second.what.standing != target_standing::serving)
        return nullptr;
    auto& notice = known->second.what;
    notice.standing = target_standing::leaving;
    leaving_starts_[id] = notice.start;
    if (leaving_starts_.size() > max_leaving)
        std::erase_if(leaving_starts_,
                      [this](auto const& it) { return !listed_.contains(it.first); });
    return &notice;
}

bool listed_targets::update_target(target_notice const& notice, instant now)
{
    auto const known = listed_.find(notice.id);
    if (known != listed_.end() && order_of(notice) <= order_of(known->second.what))
        return false;
    if (auto const gone = gone_.find(notice.id); gone != gone_.end())
    {
        if (order_of(notice) <= order_of(gone->second))
            return false;
        gone_.erase(gone);
    }
    if (notice.standing == target_standing::gone)
    {
        bool const listed = listed_.erase(notice.id) != 0;
        gone_[notice.id] = notice;
        if (gone_.size() > max_gone)
            gone_.erase(gone_.begin());
        return listed;
    }
    bool const changed = known == listed_.end() || !equal_except_time(notice, known->second.what);
    auto const cold_until = notice.cold_for > milliseconds(0) ? now + notice.cold_for : instant{};
    listed_[notice.id] = {.what = notice, .cold_until = cold_until, .learned = now};
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
