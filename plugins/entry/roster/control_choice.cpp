#include "control_choice.hpp"

#include <algorithm>
#include <tuple>

namespace mulberryrudder::entry
{

namespace
{

/// How long an instance that did not answer is asked last.
constexpr seconds avoid_failed{5};

/// Returns 0 in the same failure domain, 1 in the same region, else 2.
int distance(instance_description const& a, instance_description const& b)
{
    if (a.domain == b.domain)
        return 0;
    return a.region == b.region ? 1 : 2;
}

} // namespace

void control_choice::add_contact(instance_id id)
{
    auto& it = rows_[id];
    it.who.id = id;
    it.contact = true;
}

std::vector<instance_description>
control_choice::learn(std::vector<instance_description> const& group)
{
    std::vector<instance_description> out;
    for (auto const& it : group)
    {
        auto& known = rows_[it.id];
        if (known.who.peer != it.peer)
            out.push_back(it);
        known.who = it;
    }
    std::erase_if(rows_,
                  [&](auto const& each)
                  {
                      auto const same = [&](auto const& it) { return it.id == each.first; };
                      return !each.second.contact && std::none_of(group.begin(), group.end(), same);
                  });
    return out;
}

void control_choice::failed(instance_id id, instant now)
{
    if (auto const it = rows_.find(id); it != rows_.end())
        it->second.avoided_until = now + avoid_failed;
}

void control_choice::answered(instance_id id)
{
    if (auto const it = rows_.find(id); it != rows_.end())
        it->second.avoided_until = {};
}

std::optional<instance_id> control_choice::best(instance_description const& self,
                                                std::optional<instance_id> answered_last,
                                                instant now, random_source& random) const
{
    std::optional<instance_id> out;
    std::tuple<instant, int, bool, std::uint64_t> least{};
    for (auto const& [id, it] : rows_)
    {
        auto const avoided = it.avoided_until > now ? it.avoided_until : instant{};
        std::tuple const cost(avoided, distance(self, it.who), id != answered_last,
                              std::uint64_t{random()});
        if (out && cost >= least)
            continue;
        out = id;
        least = cost;
    }
    return out;
}

} // namespace mulberryrudder::entry
