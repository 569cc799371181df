#include "answer_table.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace mulberryrudder::entry
{

namespace
{

/// Mixes 64 bits well (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t it)
{
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    return it ^ (it >> 31U);
}

/// Returns the rendezvous score of an instance for a variant; the least goes first.
double score(std::size_t variant, messages::member const& it, double weight)
{
    auto const hash = mix(mix(variant + 1) + it.where.id.value());
    double const u = (static_cast<double>(hash >> 11U) + 1) / 9007199254740993.0;
    return -std::log(u) / weight;
}

struct ranked
{
    double score;
    messages::member const* who;
};

/// Returns how many of the members share the free slots that each of a domain reports.
std::map<domain_id, std::int64_t> members_by_domain(std::vector<messages::member> const& members)
{
    std::map<domain_id, std::int64_t> out;
    for (auto const& it : members)
        ++out[it.where.domain];
    return out;
}

/// A member with its part of its failure domain's free slots.
struct weighted
{
    messages::member const* who;
    double weight;
};

/// Lets a member without free slots still have a place, behind the others.
constexpr double least_weight = 0.001;

std::vector<weighted> weigh(std::vector<messages::member> const& usable, region_id const& region)
{
    auto const sharing = members_by_domain(usable);
    std::vector<weighted> out;
    for (auto const& it : usable)
    {
        if (it.where.region != region)
            continue;
        auto const free = static_cast<double>(std::max<std::int64_t>(it.free.count(), 0));
        auto const sharers = static_cast<double>(sharing.at(it.where.domain));
        out.push_back({&it, free / sharers + least_weight});
    }
    return out;
}

/// Returns a region's members in the order of a variant.
std::vector<ranked> rank(std::vector<weighted> const& members, domain_id const& preferred,
                         std::size_t variant)
{
    std::vector<ranked> out;
    out.reserve(members.size());
    for (auto const& it : members)
        out.push_back({score(variant, *it.who, it.weight), it.who});
    auto const before = [&](ranked const& a, ranked const& b)
    {
        bool const a_far = a.who->where.domain != preferred;
        bool const b_far = b.who->where.domain != preferred;
        return a_far != b_far ? b_far : a.score < b.score;
    };
    std::sort(out.begin(), out.end(), before);
    return out;
}

/// Moves the best instance of another failure domain to the second place, so that
/// a caller's first alternative survives the loss of the first one's domain.
void vary_second(std::vector<ranked>& order)
{
    if (order.size() < 3)
        return;
    auto const elsewhere = [&](ranked const& it)
    { return it.who->where.domain != order.front().who->where.domain; };
    auto const it = std::find_if(order.begin() + 1, order.end(), elsewhere);
    if (it != order.end())
        std::rotate(order.begin() + 1, it, it + 1);
}

/// Returns all regions of the members: the nearest first, then the others by name.
std::vector<region_id> all_regions(std::vector<region_id> nearest,
                                   std::vector<messages::member> const& usable)
{
    std::vector<region_id> others;
    for (auto const& it : usable)
        if (std::find(nearest.begin(), nearest.end(), it.where.region) == nearest.end())
            others.push_back(it.where.region);
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    nearest.insert(nearest.end(), others.begin(), others.end());
    return nearest;
}

} // namespace

answer_table::answer_table(options const& with) : most_instances_(with.most_instances)
{
    for (auto const& name : with.site_names)
    {
        auto const same = [&](site_settings const& it) { return it.name == name; };
        auto const it = std::find_if(with.sites.begin(), with.sites.end(), same);
        auto const found =
            it == with.sites.end() ? with.unknown : nearness{it->nearest, it->nearest_domain};
        by_site_.push_back(static_cast<std::uint16_t>(add(found)));
    }
    by_site_.push_back(static_cast<std::uint16_t>(add(with.unknown)));
    answers_.resize(kinds_.size());
}

std::size_t answer_table::add(nearness const& of)
{
    auto const it = std::find(kinds_.begin(), kinds_.end(), of);
    if (it != kinds_.end())
        return static_cast<std::size_t>(it - kinds_.begin());
    kinds_.push_back(of);
    return kinds_.size() - 1;
}

void answer_table::rebuild(std::vector<messages::member> const& usable)
{
    orders_.clear();
    for (std::size_t n = 0; n != kinds_.size(); ++n)
        fill(kinds_[n], usable, answers_[n]);
}

answer_table::region_orders const&
answer_table::orders_of(region_id const& region, domain_id const& preferred,
                        std::vector<messages::member> const& usable)
{
    auto const [it, is_new] = orders_.try_emplace({region, preferred});
    if (!is_new)
        return it->second;
    auto const members = weigh(usable, region);
    for (std::size_t variant = 0; variant != variants; ++variant)
    {
        auto order = rank(members, preferred, variant);
        vary_second(order);
        for (std::size_t n = 0; n != std::min(order.size(), most_instances_); ++n)
            it->second[variant].push_back(order[n].who->where.caller);
    }
    return it->second;
}

void answer_table::fill(nearness const& of, std::vector<messages::member> const& usable,
                        answer_set& out)
{
    for (auto& it : out)
        it.clear();
    // The last place is for the next region, if there is one.
    auto const places = std::max<std::size_t>(most_instances_, 2) - 1;
    for (auto const& region : all_regions(of.regions, usable))
    {
        auto const& preferred =
            !of.regions.empty() && region == of.regions.front() ? of.domain : domain_id{};
        auto const& orders = orders_of(region, preferred, usable);
        for (std::size_t variant = 0; variant != variants; ++variant)
        {
            auto const room = out[variant].empty() ? places : std::size_t{1};
            append(orders[variant], room, out[variant]);
        }
    }
}

void answer_table::append(ordered_answer const& from, std::size_t room, ordered_answer& to) const
{
    for (std::size_t n = 0; n != std::min(room, from.size()); ++n)
        if (to.size() < most_instances_)
            to.push_back(from[n]);
}

ordered_answer const& answer_table::find(site_index site, std::uint64_t client_hash) const noexcept
{
    auto const at = std::min<std::size_t>(site.value(), by_site_.size() - 1);
    return answers_[by_site_[at]][client_hash % variants];
}

std::uint64_t hash_of(client_address const& client)
{
    std::uint64_t upper = 0;
    std::uint64_t lower = 0;
    std::memcpy(&upper, client.bytes.data(), sizeof upper);
    std::memcpy(&lower, client.bytes.data() + sizeof upper, sizeof lower);
    return mix(mix(upper) + lower);
}

} // namespace mulberryrudder::entry
