#include "target_table.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace mulberryrudder::control
{

namespace
{

using messages::target_notice;
using messages::target_standing;

/// Sequence of a notice that ends a start: no later one of that start holds.
sequence_id const last_sequence{std::numeric_limits<std::uint64_t>::max()};
/// How long other control instances are told again that a target leaves, so that a
/// lost message does no harm.
constexpr seconds tell_again{5};
/// How long a target that is gone is remembered, so that a late notice does not
/// bring it back: longer than a notice can be under way.
constexpr seconds remember_gone{60};

auto order_of(target_notice const& it)
{
    return std::tuple(it.start, it.sequence);
}

/// Returns whether a notice says no more than that a target ended, as told by an instance
/// that had not heard of it before.
bool is_end_only(target_notice const& it)
{
    return it.where.port == 0;
}

milliseconds since(instant then, instant now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(now - then, span(0)));
}

} // namespace

bool target_table::is_outdated(target_notice const& it) const
{
    if (is_end_only(it))
        return false;
    // A later start at the same address shows that this one ended.
    auto const beats = [&](auto const& each)
    {
        auto const& other = each.second.what;
        return other.id != it.id && other.where == it.where && other.start > it.start;
    };
    return std::any_of(rows_.begin(), rows_.end(), beats);
}

bool target_table::take(target_notice const& it, instant now)
{
    auto const heard = now - it.age;
    if (is_outdated(it))
        return false;
    auto const [at, added] = rows_.try_emplace(it.id);
    auto& known = at->second;
    if (!added && order_of(it) < order_of(known.what))
        return false;
    if (!added && order_of(it) == order_of(known.what) && it.standing <= known.what.standing)
    {
        known.heard = std::max(known.heard, heard);
        return false;
    }
    bool const cold_changed =
        it.cold_for > milliseconds(0) || known.what.cold_for > milliseconds(0);
    auto same_but_time = it;
    same_but_time.sequence = known.what.sequence;
    same_but_time.age = known.what.age;
    same_but_time.cold_for = known.what.cold_for;
    bool const changed = added || cold_changed || !(same_but_time == known.what);
    if (!added && is_end_only(it))
        end(known.what, it.start);
    else
        known.what = it;
    known.heard = added ? heard : std::max(known.heard, heard);
    fresh_.insert(it.id);
    if (!changed)
        return false;
    mark(known, it.standing, now);
    retire_others_at(it, now);
    return true;
}

target_notice const* target_table::take_leave(target_id const& id, std::optional<start_id> start,
                                              instant now)
{
    if (!start && !rows_.contains(id))
        return nullptr;
    auto& known = rows_[id];
    known.what.id = id;
    // A leave of an earlier start came late; that start is gone already.
    if (start && *start < known.what.start)
        return &known.what;
    end(known.what, start.value_or(known.what.start));
    known.heard = now;
    if (known.what.standing != target_standing::gone)
        mark(known, target_standing::gone, now);
    known.told_until = now + tell_again;
    return &known.what;
}

void target_table::end(messages::target_notice& it, start_id start)
{
    it.start = start;
    it.sequence = last_sequence;
}

void target_table::mark(row& it, target_standing standing, instant now)
{
    it.what.standing = standing;
    newest_ = sequence_id(newest_.value() + 1);
    it.changed = newest_;
    if (standing != target_standing::serving)
        it.told_until = now + tell_again;
}

void target_table::retire_others_at(target_notice const& winner, instant now)
{
    if (is_end_only(winner))
        return;
    for (auto& [id, it] : rows_)
    {
        bool const replaced = id != winner.id && it.what.where == winner.where &&
                              it.what.start < winner.start &&
                              it.what.standing != target_standing::gone;
        if (replaced)
            mark(it, target_standing::gone, now);
    }
}

void target_table::expire(instant since, instant now)
{
    for (auto& [id, it] : rows_)
        if (it.what.standing != target_standing::gone && it.heard < since)
            mark(it, target_standing::gone, now);
    std::erase_if(rows_,
                  [&](auto const& each)
                  {
                      auto const& it = each.second;
                      return it.what.standing == target_standing::gone &&
                             it.heard + remember_gone < now;
                  });
}

void target_table::forgive(span gap)
{
    for (auto& [id, it] : rows_)
        it.heard += gap;
}

target_notice target_table::aged(row const& it, instant now)
{
    auto out = it.what;
    out.age = since(it.heard, now);
    out.cold_for = std::max(out.cold_for - out.age, milliseconds(0));
    return out;
}

messages::target_summary target_table::summary(instant now) const
{
    messages::target_summary out;
    for (auto const& [id, it] : rows_)
        out.add(it.what, aged(it, now).cold_for > milliseconds(0));
    return out;
}

std::vector<target_notice>
target_table::changed_since(sequence_id since, std::optional<messages::target_summary> const& held,
                            instant now) const
{
    auto const known = held ? summary(now) : messages::target_summary();
    std::vector<target_notice> out;
    for (auto const& [id, it] : rows_)
        if (it.changed > since && (!held || known.differs_at(id, *held)))
            out.push_back(aged(it, now));
    return out;
}

std::vector<target_notice> target_table::take_fresh(instant now)
{
    std::vector<target_notice> out;
    for (auto const& [id, it] : rows_)
    {
        if (!fresh_.contains(id) && it.told_until < now)
            continue;
        // The receivers count the cold time from the target's own words.
        auto told = it.what;
        told.age = since(it.heard, now);
        out.push_back(std::move(told));
    }
    fresh_.clear();
    return out;
}

slots target_table::capacity_of(service_id const& service, version_id const& version) const
{
    slots out;
    for (auto const& [id, it] : rows_)
        if (it.what.service == service && it.what.version == version &&
            it.what.standing == target_standing::serving)
            out += it.what.capacity;
    return out;
}

std::vector<version_id> target_table::versions_of(service_id const& service) const
{
    std::vector<std::pair<start_id, version_id>> found;
    for (auto const& [id, it] : rows_)
        if (it.what.service == service && it.what.standing == target_standing::serving)
            found.emplace_back(it.what.start, it.what.version);
    std::sort(found.begin(), found.end());
    std::vector<version_id> out;
    for (auto const& [start, version] : found)
        if (std::find(out.begin(), out.end(), version) == out.end())
            out.push_back(version);
    return out;
}

} // namespace mulberryrudder::control
