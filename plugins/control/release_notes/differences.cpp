#include "differences.hpp"

namespace mulberryrudder::control::internal
{

namespace
{

using flat_plan = std::map<std::string, std::string>;

std::string text_of(std::int64_t thousandths)
{
    auto const rest = std::to_string(thousandths % 1000);
    auto out = std::to_string(thousandths / 1000);
    if (thousandths % 1000 != 0)
        out += "." + std::string(3 - rest.size(), '0') + rest;
    return out;
}

std::string text_of(bool value)
{
    return value ? "true" : "false";
}

void flatten_customers(fleet_config const& from, flat_plan& out)
{
    for (auto const& [id, it] : from.customers)
    {
        auto const place = "customers/" + id.value();
        out[place + "/rate"] = text_of(it.rate.count()) + " requests/s";
        out[place + "/burst"] = text_of(it.burst.count()) + " requests";
        out[place + "/home"] = it.home.value();
        for (auto const& key : it.keys)
            out[place + "/keys/" + key_id_of(key).value()] = "in force";
    }
}

void flatten_routes(fleet_config const& from, flat_plan& out)
{
    for (auto const& [id, it] : from.routes)
    {
        auto const place = "routes/" + id.value();
        out[place + "/open"] = text_of(it.open);
        out[place + "/idempotent"] = text_of(it.idempotent);
        out[place + "/version"] = it.version.value();
        if (it.customers.empty())
            out[place + "/customers"] = "all";
        for (auto const& customer : it.customers)
            out[place + "/customers/" + customer.value()] = "allowed";
    }
}

void flatten_rest(fleet_plan const& from, flat_plan& out)
{
    for (auto const& [id, cap] : from.config->link_caps)
        out["links/" + id.from.value() + ":" + id.to.value()] =
            std::to_string(cap.count()) + " bytes/s";
    for (auto const& [id, it] : from.moves)
    {
        auto const place = "moves/" + id.value();
        out[place + "/version"] = it.terms.version.value();
        out[place + "/cap"] = std::to_string(it.terms.cap.count()) + " per mille";
        out[place + "/deadline"] = std::to_string(it.terms.deadline.value()) + " us since 1970";
    }
}

flat_plan flatten(fleet_plan const& from)
{
    flat_plan out;
    flatten_customers(*from.config, out);
    flatten_routes(*from.config, out);
    flatten_rest(from, out);
    return out;
}

} // namespace

std::vector<config_difference> differences_of(fleet_plan const& before, fleet_plan const& after)
{
    auto const old_values = flatten(before);
    auto const new_values = flatten(after);
    std::map<std::string, config_difference> found;
    for (auto const& [place, value] : old_values)
        found[place] = {.place = place, .before = value, .after = {}};
    for (auto const& [place, value] : new_values)
    {
        found[place].place = place;
        found[place].after = value;
    }
    std::vector<config_difference> out;
    for (auto& [place, it] : found)
        if (it.before != it.after)
            out.push_back(std::move(it));
    return out;
}

} // namespace mulberryrudder::control::internal
