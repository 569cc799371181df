#include "control_choice.hpp"

#include <algorithm>
#include <tuple>

namespace mulberryrudder::entry
{

namespace
{

/// Time for which an instance that did not answer is selected last.
constexpr seconds failure_backoff{5};
/// Time for which an instance that was chosen in a search is selected first.
constexpr seconds preference_lifetime{5};

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
    auto& added = instances_[id];
    added.instance.id = id;
    added.is_contact = true;
}

std::vector<instance_description>
control_choice::update_group(std::vector<instance_description> const& group, naming named)
{
    std::vector<instance_description> out;
    for (auto const& it : group)
    {
        auto& known = instances_[it.id];
        if (known.instance.peer != it.peer)
            out.push_back(it);
        known.instance = it;
    }
    if (named == naming::some)
        return out;
    std::erase_if(instances_,
                  [&](auto const& entry)
                  {
                      auto const same = [&](auto const& it) { return it.id == entry.first; };
                      return !entry.second.is_contact &&
                             std::none_of(group.begin(), group.end(), same);
                  });
    return out;
}

std::vector<instance_id> control_choice::all() const
{
    std::vector<instance_id> out;
    for (auto const& [id, it] : instances_)
        out.push_back(id);
    return out;
}

void control_choice::failed(instance_id id, instant now)
{
    if (auto const it = instances_.find(id); it != instances_.end())
        it->second.deprioritized_until = now + failure_backoff;
    if (preferred_ == id)
        preferred_.reset();
}

void control_choice::prefer(instance_id id, instant now)
{
    preferred_ = id;
    preferred_until_ = now + preference_lifetime;
}

void control_choice::answered(instance_id id)
{
    if (auto const it = instances_.find(id); it != instances_.end())
        it->second.deprioritized_until = {};
}

std::optional<instance_id> control_choice::best(instance_description const& self,
                                                std::optional<instance_id> last_answered,
                                                instant now, random_source& random) const
{
    if (preferred_ && now < preferred_until_ && instances_.contains(*preferred_))
        return preferred_;
    std::optional<instance_id> out;
    std::tuple<instant, int, bool, std::uint64_t> lowest{};
    for (auto const& [id, it] : instances_)
    {
        auto const backoff_end = it.deprioritized_until > now ? it.deprioritized_until : instant{};
        std::tuple const cost(backoff_end, distance(self, it.instance), id != last_answered,
                              std::uint64_t{random()});
        if (out && cost >= lowest)
            continue;
        out = id;
        lowest = cost;
    }
    return out;
}

} // namespace mulberryrudder::entry
