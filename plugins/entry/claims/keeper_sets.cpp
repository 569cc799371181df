#include "keeper_sets.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <functional>

namespace mulberryrudder::entry
{

namespace
{

/// A member with its rendezvous score for one claim.
struct candidate
{
    std::size_t score;
    member_location const* member;
};

std::vector<candidate> ranked_members(messages::claim_id const& id, keeper_view const& view)
{
    auto const seed = std::hash<digest>{}(id.value());
    std::vector<candidate> out;
    for (auto const& it : view.members)
    {
        auto score = seed;
        boost::hash_combine(score, it.id.value());
        out.push_back({score, &it});
    }
    auto const ranks_before = [](candidate const& a, candidate const& b)
    { return std::pair(a.score, a.member->id) > std::pair(b.score, b.member->id); };
    std::sort(out.begin(), out.end(), ranks_before);
    return out;
}

/// Selects keepers one by one from the ranking.
class keeper_selection
{
public:
    explicit keeper_selection(std::vector<candidate> ranking) : ranking_(std::move(ranking)) {}

    /// Adds the first member that matches, unless there are enough keepers already.
    void add_first(std::function<bool(member_location const&)> const& matches)
    {
        if (selected_.size() == keepers_per_claim)
            return;
        for (auto const& it : ranking_)
        {
            if (is_selected(*it.member) || !matches(*it.member))
                continue;
            selected_.push_back(it.member);
            return;
        }
    }

    bool has_domain(domain_id const& domain) const
    {
        auto const same = [&](auto const* it) { return it->domain == domain; };
        return std::any_of(selected_.begin(), selected_.end(), same);
    }

    std::vector<instance_id> ids() const
    {
        std::vector<instance_id> out;
        for (auto const* const it : selected_)
            out.push_back(it->id);
        std::sort(out.begin(), out.end());
        return out;
    }

private:
    bool is_selected(member_location const& member) const
    {
        return std::find(selected_.begin(), selected_.end(), &member) != selected_.end();
    }

    std::vector<candidate> ranking_;
    std::vector<member_location const*> selected_;
};

} // namespace

void known_members::update(std::vector<messages::member> const& members, instant now)
{
    for (auto const& it : members)
    {
        member_location location{it.where.id, it.where.region, it.where.domain};
        known_.insert_or_assign(it.where.id, known_member{std::move(location), now + hold_});
    }
    std::erase_if(known_, [now](auto const& it) { return it.second.expires_at < now; });
}

keeper_view known_members::make_view(fleet_config const& config) const
{
    keeper_view out;
    for (auto const& [id, it] : known_)
        out.members.push_back(it.location);
    for (auto const& [id, customer] : config.customers)
        out.homes.emplace(id, customer.home);
    return out;
}

digest digest_of(keeper_view const& view)
{
    std::string buf;
    for (auto const& it : view.members)
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
    keeper_selection selection(ranked_members(id, view));
    auto const in_home_region = [&](member_location const& it)
    { return it.region == home && !selection.has_domain(it.domain); };
    auto const in_other_region = [&](member_location const& it)
    { return it.region != home && !selection.has_domain(it.domain); };
    auto const in_other_domain = [&](member_location const& it)
    { return !selection.has_domain(it.domain); };
    selection.add_first(in_home_region);
    selection.add_first(in_home_region);
    selection.add_first(in_other_region);
    for (std::size_t n = 0; n != keepers_per_claim; ++n)
        selection.add_first(in_other_domain);
    for (std::size_t n = 0; n != keepers_per_claim; ++n)
        selection.add_first([](member_location const&) { return true; });
    return selection.ids();
}

bool view_history::update(keeper_view view, instant now)
{
    if (!views_.empty() && views_.back().view == view)
        return false;
    views_.push_back({std::move(view), now});
    return true;
}

void view_history::discard_before(instant horizon)
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
