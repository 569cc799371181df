#include "entry_table.hpp"

#include <algorithm>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

/// Time between two whole notices of an entry that does not change, for receivers that missed one
/// or forgot the entry during a partition.
constexpr seconds whole_interval{2};

/// Returns whether two notices of an entry differ at most in sequence and age.
bool equal_except_time(messages::entry_notice notice, messages::entry_notice const& other)
{
    notice.sequence = other.sequence;
    notice.age = other.age;
    return notice == other;
}

} // namespace

void entry_table::update_from_entry(messages::entry_notice const& notice, instant now)
{
    auto const known = rows_.find(notice.who.id);
    bool const same = known != rows_.end() && equal_except_time(notice, known->second.notice);
    rows_[notice.who.id] = {.notice = notice,
                            .last_update = now,
                            .last_own_report = now,
                            .unforwarded = true,
                            .whole_due = same ? known->second.whole_due : instant()};
}

void entry_table::update_from_control(messages::entry_notice const& notice, instant now)
{
    auto const update_time = now - notice.age;
    auto const known = rows_.find(notice.who.id);
    if (known == rows_.end() || known->second.last_update < update_time)
        rows_[notice.who.id] = {
            .notice = notice,
            .last_update = update_time,
            .last_own_report = known == rows_.end() ? instant() : known->second.last_own_report,
            .unforwarded = false};
}

void entry_table::refresh(messages::unchanged_entry const& unchanged, instant now)
{
    auto const known = rows_.find(unchanged.id);
    if (known != rows_.end() && known->second.notice.boot == unchanged.boot)
        known->second.last_update = now;
}

void entry_table::expire(instant cutoff)
{
    std::erase_if(rows_, [&](auto const& it) { return it.second.last_update < cutoff; });
}

outgoing_reports entry_table::take_unforwarded(instant now)
{
    outgoing_reports out;
    for (auto& [id, it] : rows_)
    {
        if (!std::exchange(it.unforwarded, false))
            continue;
        if (now < it.whole_due)
        {
            out.unchanged.push_back({.id = id, .boot = it.notice.boot});
            continue;
        }
        it.whole_due = now + whole_interval;
        out.notices.push_back(it.notice);
        out.notices.back().age = std::chrono::duration_cast<milliseconds>(now - it.last_update);
    }
    return out;
}

std::vector<endpoint> entry_table::ready_for(region_id const& region, domain_id const& domain) const
{
    std::vector<endpoint> in_domain;
    std::vector<endpoint> in_region;
    std::vector<endpoint> all;
    for (auto const& [id, it] : rows_)
    {
        if (!it.notice.ready)
            continue;
        auto const& entry = it.notice.who;
        all.push_back(entry.caller);
        if (entry.region == region)
            in_region.push_back(entry.caller);
        if (entry.domain == domain)
            in_domain.push_back(entry.caller);
    }
    if (!in_domain.empty())
        return in_domain;
    return in_region.empty() ? all : in_region;
}

std::vector<messages::entry_notice> entry_table::notices() const
{
    std::vector<messages::entry_notice> out;
    for (auto const& [id, it] : rows_)
        out.push_back(it.notice);
    return out;
}

std::uint32_t entry_table::ready_count() const
{
    return static_cast<std::uint32_t>(std::count_if(
        rows_.begin(), rows_.end(), [](auto const& it) { return it.second.notice.ready; }));
}

std::uint32_t entry_table::ready_count_in(domain_id const& domain) const
{
    return static_cast<std::uint32_t>(
        std::count_if(rows_.begin(), rows_.end(),
                      [&](auto const& it)
                      { return it.second.notice.ready && it.second.notice.who.domain == domain; }));
}

per_mille entry_table::part_reported_since(instant cutoff) const
{
    auto const own =
        std::count_if(rows_.begin(), rows_.end(),
                      [cutoff](auto const& it) { return it.second.last_own_report >= cutoff; });
    return per_mille(own * whole_share.count() /
                     std::max<std::int64_t>(static_cast<std::int64_t>(rows_.size()), 1));
}

} // namespace mulberryrudder::control
