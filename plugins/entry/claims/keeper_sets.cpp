#include "keeper_sets.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <functional>

namespace mulberryrudder::entry
{

namespace
{

/// A place with its rendezvous score for one claim.
struct candidate
{
    std::size_t score;
    keeper_place const* place;
};

std::vector<candidate> ranked(messages::claim_id const& id, keeper_view const& view)
{
    auto const seed = std::hash<digest>{}(id.value());
    std::vector<candidate> out;
    for (auto const& it : view.places)
    {
        auto score = seed;
        boost::hash_combine(score, it.id.value());
        out.push_back({score, &it});
    }
    auto const better = [](candidate const& a, candidate const& b)
    { return std::pair(a.score, a.place->id) > std::pair(b.score, b.place->id); };
    std::sort(out.begin(), out.end(), better);
    return out;
}

/// Picks keepers one by one from the ranking.
class picker
{
public:
    explicit picker(std::vector<candidate> ranking) : ranking_(std::move(ranking)) {}

    /// Picks the first place that fits, if another keeper is needed at all.
    void pick(std::function<bool(keeper_place const&)> const& fits)
    {
        if (picked_.size() == keepers_per_claim)
            return;
        for (auto const& it : ranking_)
        {
            if (is_picked(*it.place) || !fits(*it.place))
                continue;
            picked_.push_back(it.place);
            return;
        }
    }

    bool has_domain(domain_id const& domain) const
    {
        auto const same = [&](auto const* it) { return it->domain == domain; };
        return std::any_of(picked_.begin(), picked_.end(), same);
    }

    std::vector<instance_id> ids() const
    {
        std::vector<instance_id> out;
        for (auto const* const it : picked_)
            out.push_back(it->id);
        std::sort(out.begin(), out.end());
        return out;
    }

private:
    bool is_picked(keeper_place const& place) const
    {
        return std::find(picked_.begin(), picked_.end(), &place) != picked_.end();
    }

    std::vector<candidate> ranking_;
    std::vector<keeper_place const*> picked_;
};

} // namespace

void seen_members::see(std::vector<messages::member> const& members, instant now)
{
    for (auto const& it : members)
    {
        keeper_place place{it.where.id, it.where.region, it.where.domain};
        seen_.insert_or_assign(it.where.id, sighting{std::move(place), now + hold_});
    }
    std::erase_if(seen_, [now](auto const& it) { return it.second.until < now; });
}

keeper_view seen_members::view(fleet_config const& config) const
{
    keeper_view out;
    for (auto const& [id, it] : seen_)
        out.places.push_back(it.place);
    for (auto const& [id, customer] : config.customers)
        out.homes.emplace(id, customer.home);
    return out;
}

digest digest_of(keeper_view const& view)
{
    std::string buf;
    for (auto const& it : view.places)
        buf += std::to_string(it.id.value()) + '\n' + it.region.value() + '\n' + it.domain.value() +
               '\n';
    for (auto const& [customer, home] : view.homes)
        buf += customer.value() + '\n' + home.value() + '\n';
    return sha256(buf);
}

std::vector<instance_id> keepers_of(messages::claim_id const& id, customer_id const& customer,
                                    keeper_view const& view)
{
    auto const found = view.homes.find(customer);
    auto const home = found == view.homes.end() ? region_id{} : found->second;
    picker chosen(ranked(id, view));
    auto const at_home = [&](keeper_place const& it)
    { return it.region == home && !chosen.has_domain(it.domain); };
    auto const abroad = [&](keeper_place const& it)
    { return it.region != home && !chosen.has_domain(it.domain); };
    auto const other_domain = [&](keeper_place const& it) { return !chosen.has_domain(it.domain); };
    chosen.pick(at_home);
    chosen.pick(at_home);
    chosen.pick(abroad);
    for (std::size_t n = 0; n != keepers_per_claim; ++n)
        chosen.pick(other_domain);
    for (std::size_t n = 0; n != keepers_per_claim; ++n)
        chosen.pick([](keeper_place const&) { return true; });
    return chosen.ids();
}

bool view_history::follow(keeper_view view, instant now)
{
    if (!views_.empty() && views_.back().view == view)
        return false;
    views_.push_back({std::move(view), now});
    return true;
}

void view_history::forget_before(instant horizon)
{
    while (views_.size() > 1 && views_[1].since < horizon)
        views_.pop_front();
}

bool view_history::unchanged_since(instant horizon, messages::claim_id const& id,
                                   customer_id const& customer,
                                   std::vector<instance_id> const& keepers) const
{
    for (auto it = views_.rbegin(); it != views_.rend(); ++it)
    {
        if (keepers_of(id, customer, it->view) != keepers)
            return false;
        if (it->since < horizon)
            return true;
    }
    return true;
}

} // namespace mulberryrudder::entry
