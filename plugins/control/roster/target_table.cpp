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

/// Sequence of the final notice of a start: supersedes every other notice of that start.
sequence_id const final_sequence{std::numeric_limits<std::uint64_t>::max()};
/// Time for which the notice of a leaving target is forwarded repeatedly, so that the loss
/// of a message does no harm.
constexpr seconds leave_forward_time{5};
/// Time for which a target that is gone stays in the table, so that a delayed notice does not
/// restore it. Longer than a notice can be in transit.
constexpr seconds gone_retention{60};
/// Time between two whole notices of a target that does not change.
constexpr seconds whole_interval{8};

auto notice_order(target_notice const& it)
{
    return std::tuple(it.start, it.sequence);
}

/// Returns whether a notice only reports that a target ended. Instances that did not know
/// the target create such notices; they contain no address.
bool is_bare_end(target_notice const& it)
{
    return it.where.port == 0;
}

milliseconds elapsed_since(instant start, instant now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(now - start, span(0)));
}

} // namespace

bool target_table::is_superseded(target_notice const& notice) const
{
    if (is_bare_end(notice))
        return false;
    auto const neighbours = ids_at_.find(notice.where);
    if (neighbours == ids_at_.end())
        return false;
    // A later start at the same address implies that this one ended.
    auto const supersedes = [&](target_id const& id)
    { return id != notice.id && rows_.at(id).notice.start > notice.start; };
    return std::any_of(neighbours->second.begin(), neighbours->second.end(), supersedes);
}

void target_table::set_notice(row& it, target_notice const& notice)
{
    if (it.notice.where != notice.where)
        forget_address(it.notice);
    it.notice = notice;
    if (!is_bare_end(notice))
        ids_at_[notice.where].insert(notice.id);
}

void target_table::forget_address(target_notice const& notice)
{
    auto const neighbours = ids_at_.find(notice.where);
    if (neighbours == ids_at_.end())
        return;
    neighbours->second.erase(notice.id);
    if (neighbours->second.empty())
        ids_at_.erase(neighbours);
}

bool target_table::update(target_notice const& notice, std::optional<instance_id> source,
                          instant now)
{
    auto const notice_time = now - notice.age;
    if (is_superseded(notice))
        return false;
    auto const [position, added] = rows_.try_emplace(notice.id);
    auto& known = position->second;
    if (!added && notice_order(notice) < notice_order(known.notice))
        return false;
    // The answer to the target counts acknowledgements of the next exchange, which must contain
    // the leave.
    if (!source && notice.standing != target_standing::serving)
    {
        known.forward_until = now + leave_forward_time;
        known.first_exchange.reset();
    }
    if (!added && notice_order(notice) == notice_order(known.notice) &&
        notice.standing <= known.notice.standing)
    {
        known.last_notice = std::max(known.last_notice, notice_time);
        return false;
    }
    note_leave(known, notice);
    bool const cold_changed =
        notice.cold_for > milliseconds(0) || known.notice.cold_for > milliseconds(0);
    auto comparable = notice;
    comparable.sequence = known.notice.sequence;
    comparable.age = known.notice.age;
    comparable.cold_for = known.notice.cold_for;
    bool const changed = added || cold_changed || !(comparable == known.notice);
    if (!added && is_bare_end(notice))
        end_start(known.notice, notice.start);
    else
        set_notice(known, notice);
    if (changed || known.source != source)
        known.whole_due = instant();
    known.source = source;
    known.last_notice = added ? notice_time : std::max(known.last_notice, notice_time);
    unforwarded_.insert(notice.id);
    if (!changed)
        return false;
    set_standing(known, notice.standing, now);
    retire_replaced_targets(notice, now);
    return true;
}

bool target_table::is_known(target_id const& id, start_id start) const
{
    auto const found = rows_.find(id);
    return found != rows_.end() && found->second.notice.start >= start;
}

bool target_table::refresh(messages::unchanged_target const& unchanged, instance_id source,
                           instant now)
{
    auto const found = rows_.find(unchanged.id);
    if (found == rows_.end() || found->second.notice.start != unchanged.start)
        return false;
    auto notice = found->second.notice;
    notice.sequence = unchanged.sequence;
    notice.standing = target_standing::serving;
    notice.cold_for = milliseconds(0);
    notice.age = milliseconds(0);
    return update(notice, source, now);
}

target_notice const* target_table::deregister(target_id const& id, std::optional<start_id> start,
                                              instant now)
{
    if (!start && !rows_.contains(id))
        return nullptr;
    auto& known = rows_[id];
    known.notice.id = id;
    // A delayed leave of an earlier start, which has ended already.
    if (start && *start < known.notice.start)
        return &known.notice;
    end_start(known.notice, start.value_or(known.notice.start));
    known.has_left = true;
    ++leaves_version_;
    known.last_notice = now;
    known.source.reset();
    if (known.notice.standing != target_standing::gone)
        set_standing(known, target_standing::gone, now);
    known.forward_until = now + leave_forward_time;
    known.first_exchange.reset();
    return &known.notice;
}

target_notice const* target_table::depart(target_id const& id, start_id start, instant now)
{
    auto const found = rows_.find(id);
    if (found == rows_.end())
        return nullptr;
    auto& known = found->second;
    if (known.notice.start != start || known.departed == start ||
        known.notice.standing != target_standing::serving)
        return nullptr;
    known.departed = start;
    known.source.reset();
    unforwarded_.insert(id);
    set_standing(known, target_standing::leaving, now);
    return &known.notice;
}

void target_table::note_leave(row& known, target_notice const& notice)
{
    bool const has_left = notice.standing != target_standing::serving;
    // A target that repeats that it leaves has other sequences only.
    bool const is_repeated = known.has_left == has_left && known.notice.start == notice.start &&
                             known.notice.standing == notice.standing &&
                             notice.sequence != final_sequence;
    if ((has_left || known.has_left) && !is_repeated)
        ++leaves_version_;
    known.has_left = has_left;
}

std::vector<target_notice> target_table::leaves(instant now) const
{
    std::vector<target_notice> out;
    for (auto const& [id, it] : rows_)
        if (it.has_left)
            out.push_back(forwarded_notice(it, now));
    return out;
}

void target_table::restore(target_notice leave, instant now)
{
    leave.age = milliseconds(0);
    update(leave, std::nullopt, now);
}

target_notice const* target_table::find(target_id const& id) const
{
    auto const it = rows_.find(id);
    return it == rows_.end() ? nullptr : &it->second.notice;
}

void target_table::end_start(messages::target_notice& notice, start_id start)
{
    notice.start = start;
    notice.sequence = final_sequence;
}

void target_table::set_standing(row& it, target_standing standing, instant now)
{
    it.notice.standing = standing;
    newest_change_ = sequence_id(newest_change_.value() + 1);
    it.change_number = newest_change_;
    it.whole_due = instant();
    it.first_exchange.reset();
    if (standing != target_standing::serving)
        it.forward_until = now + leave_forward_time;
}

void target_table::retire_replaced_targets(target_notice const& replacement, instant now)
{
    if (is_bare_end(replacement))
        return;
    for (auto const& id : ids_at_[replacement.where])
    {
        auto& it = rows_.at(id);
        bool const replaced = id != replacement.id && it.notice.start < replacement.start &&
                              it.notice.standing != target_standing::gone;
        if (replaced)
            set_standing(it, target_standing::gone, now);
    }
}

void target_table::expire(instant cutoff, instant now)
{
    for (auto& [id, it] : rows_)
        if (it.notice.standing != target_standing::gone && it.last_notice < cutoff)
            set_standing(it, target_standing::gone, now);
    std::erase_if(rows_,
                  [&](auto const& each)
                  {
                      auto const& it = each.second;
                      bool const obsolete = it.notice.standing == target_standing::gone &&
                                            it.last_notice + gone_retention < now;
                      if (obsolete)
                          forget_address(it.notice);
                      return obsolete;
                  });
}

void target_table::extend_expiry(span pause)
{
    for (auto& [id, it] : rows_)
        it.last_notice += pause;
}

target_notice target_table::current_notice(row const& it, instant now)
{
    auto out = it.notice;
    out.age = elapsed_since(it.last_notice, now);
    out.cold_for = std::max(out.cold_for - out.age, milliseconds(0));
    return out;
}

target_notice target_table::forwarded_notice(row const& it, instant now)
{
    // The receivers compute the remaining cold time from the target's own value and the age.
    auto out = it.notice;
    out.age = elapsed_since(it.last_notice, now);
    return out;
}

messages::target_summary target_table::summary(instant now) const
{
    messages::target_summary out;
    for (auto const& [id, it] : rows_)
        out.add(it.notice, current_notice(it, now).cold_for > milliseconds(0));
    return out;
}

std::vector<target_notice>
target_table::changed_since(sequence_id since, std::optional<messages::target_summary> const& held,
                            instant now) const
{
    auto const known = held ? summary(now) : messages::target_summary();
    std::vector<target_notice> out;
    for (auto const& [id, it] : rows_)
        if (it.change_number > since && (!held || known.differs_at(id, *held)))
            out.push_back(current_notice(it, now));
    return out;
}

std::vector<outgoing_notice> target_table::take_unforwarded(sequence_id exchange, instant now)
{
    std::vector<outgoing_notice> out;
    for (auto& [id, it] : rows_)
    {
        bool const is_ending = it.forward_until >= now;
        if (!is_ending && !unforwarded_.contains(id))
            continue;
        if (is_ending && (!it.first_exchange || unforwarded_.contains(id)))
            it.first_exchange = exchange;
        bool const unchanged = !it.source && !is_ending && now < it.whole_due &&
                               it.notice.standing == target_standing::serving;
        if (!unchanged)
            it.whole_due = now + whole_interval;
        out.push_back({.notice = forwarded_notice(it, now),
                       .source = it.source,
                       .first_exchange = is_ending ? it.first_exchange : std::nullopt,
                       .unchanged = unchanged});
    }
    unforwarded_.clear();
    return out;
}

std::vector<target_notice> target_table::own(instant now) const
{
    std::vector<target_notice> out;
    for (auto const& [id, it] : rows_)
        if (!it.source)
            out.push_back(forwarded_notice(it, now));
    return out;
}

std::vector<target_notice> target_table::all(instant now) const
{
    std::vector<target_notice> out;
    for (auto const& [id, it] : rows_)
        out.push_back(forwarded_notice(it, now));
    return out;
}

slots target_table::capacity_of(service_id const& service, version_id const& version) const
{
    slots out;
    for (auto const& [id, it] : rows_)
        if (it.notice.service == service && it.notice.version == version &&
            it.notice.standing == target_standing::serving)
            out += it.notice.capacity;
    return out;
}

std::vector<version_id> target_table::versions_of(service_id const& service) const
{
    std::vector<std::pair<start_id, version_id>> found;
    for (auto const& [id, it] : rows_)
        if (it.notice.service == service && it.notice.standing == target_standing::serving)
            found.emplace_back(it.notice.start, it.notice.version);
    std::sort(found.begin(), found.end());
    std::vector<version_id> out;
    for (auto const& [start, version] : found)
        if (std::find(out.begin(), out.end(), version) == out.end())
            out.push_back(version);
    return out;
}

} // namespace mulberryrudder::control
