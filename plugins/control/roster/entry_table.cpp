#include "entry_table.hpp"

#include <algorithm>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

/// Demand that counts for an entry that named none, so that a customer who turns to
/// another entry is not refused there at once.
constexpr millitokens_per_second base_demand{1000};

} // namespace

void entry_table::take_own(messages::entry_notice const& it, instant now)
{
    rows_[it.who.id] = {.what = it, .heard = now, .fresh = true};
}

void entry_table::take_told(messages::entry_notice const& it, instant now)
{
    auto const heard = now - it.age;
    auto const known = rows_.find(it.who.id);
    if (known == rows_.end() || known->second.heard < heard)
        rows_[it.who.id] = {.what = it, .heard = heard, .fresh = false};
}

void entry_table::expire(instant since)
{
    std::erase_if(rows_, [since](auto const& it) { return it.second.heard < since; });
}

std::vector<messages::entry_notice> entry_table::take_fresh(instant now)
{
    std::vector<messages::entry_notice> out;
    for (auto& [id, it] : rows_)
    {
        if (!std::exchange(it.fresh, false))
            continue;
        out.push_back(it.what);
        out.back().age = std::chrono::duration_cast<milliseconds>(now - it.heard);
    }
    return out;
}

std::vector<endpoint> entry_table::ready_for(region_id const& region, domain_id const& domain) const
{
    std::vector<endpoint> here;
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    for (auto const& [id, it] : rows_)
    {
        if (!it.what.ready)
            continue;
        auto const& who = it.what.who;
        all.push_back(who.caller);
        if (who.region == region)
            near.push_back(who.caller);
        if (who.domain == domain)
            here.push_back(who.caller);
    }
    if (!here.empty())
        return here;
    return near.empty() ? all : near;
}

std::uint32_t entry_table::ready_count() const
{
    return static_cast<std::uint32_t>(std::count_if(
        rows_.begin(), rows_.end(), [](auto const& it) { return it.second.what.ready; }));
}

std::uint32_t entry_table::ready_count_in(domain_id const& domain) const
{
    return static_cast<std::uint32_t>(std::count_if(rows_.begin(), rows_.end(),
                                                    [&](auto const& it) {
                                                        return it.second.what.ready &&
                                                               it.second.what.who.domain == domain;
                                                    }));
}

std::map<customer_id, millitokens_per_second> entry_table::demand() const
{
    std::map<customer_id, millitokens_per_second> out;
    for (auto const& [id, it] : rows_)
        for (auto const& [customer, demand] : it.what.demand)
            out[customer] += demand;
    return out;
}

std::map<customer_id, per_mille> entry_table::shares_of(instance_id entry) const
{
    auto const sums = demand();
    std::map<customer_id, per_mille> out;
    auto const own = rows_.find(entry);
    if (own == rows_.end())
        return out;
    auto const base = base_demand.count();
    auto const all_base = base * static_cast<std::int64_t>(rows_.size());
    for (auto const& [customer, sum] : sums)
    {
        auto const found = own->second.what.demand.find(customer);
        auto const mine = found == own->second.what.demand.end() ? 0 : found->second.count();
        out[customer] = per_mille((mine + base) * whole_share.count() / (sum.count() + all_base));
    }
    return out;
}

} // namespace mulberryrudder::control
