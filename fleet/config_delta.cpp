#include <mulberryrudder/fleet/config_delta.hpp>

#include <algorithm>

namespace mulberryrudder::fleet
{

namespace
{

template <class Map, class Key>
void compare_maps(Map const& base, Map const& newer, Map& different, std::vector<Key>& gone)
{
    for (auto const& [id, it] : newer)
    {
        auto const old = base.find(id);
        if (old == base.end() || !(old->second == it))
            different.emplace(id, it);
    }
    for (auto const& [id, it] : base)
        if (!newer.contains(id))
            gone.push_back(id);
}

template <class Key>
void compare_sets(std::set<Key> const& base, std::set<Key> const& newer, std::set<Key>& joined,
                  std::vector<Key>& gone)
{
    std::set_difference(newer.begin(), newer.end(), base.begin(), base.end(),
                        std::inserter(joined, joined.end()));
    std::set_difference(base.begin(), base.end(), newer.begin(), newer.end(),
                        std::back_inserter(gone));
}

template <class Map, class Key>
void change_map(Map& out, Map const& different, std::vector<Key> const& gone)
{
    for (auto const& [id, it] : different)
        out.insert_or_assign(id, it);
    for (auto const& id : gone)
        out.erase(id);
}

template <class Key>
void change_set(std::set<Key>& out, std::set<Key> const& joined, std::vector<Key> const& gone)
{
    out.insert(joined.begin(), joined.end());
    for (auto const& it : gone)
        out.erase(it);
}

} // namespace

messages::config_delta difference(fleet_config const& base, fleet_config const& newer)
{
    messages::config_delta out{.base = base.generation};
    out.changed.generation = newer.generation;
    compare_maps(base.customers, newer.customers, out.changed.customers, out.customers_gone);
    compare_maps(base.routes, newer.routes, out.changed.routes, out.routes_gone);
    compare_maps(base.link_caps, newer.link_caps, out.changed.link_caps, out.link_caps_gone);
    compare_sets(base.quarantined, newer.quarantined, out.changed.quarantined,
                 out.quarantine_lifted);
    compare_sets(base.draining, newer.draining, out.changed.draining, out.draining_ended);
    return out;
}

fleet_config changed(fleet_config const& base, messages::config_delta const& by)
{
    fleet_config out = base;
    out.generation = by.changed.generation;
    change_map(out.customers, by.changed.customers, by.customers_gone);
    change_map(out.routes, by.changed.routes, by.routes_gone);
    change_map(out.link_caps, by.changed.link_caps, by.link_caps_gone);
    change_set(out.quarantined, by.changed.quarantined, by.quarantine_lifted);
    change_set(out.draining, by.changed.draining, by.draining_ended);
    return out;
}

} // namespace mulberryrudder::fleet
