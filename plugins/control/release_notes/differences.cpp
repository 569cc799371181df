#include "differences.hpp"

namespace mulberryrudder::control::internal
{

namespace
{

/// A plan as a table from each value's path to its text.
using flat_plan = std::map<std::string, std::string>;

/// Returns the number of whole units, with three decimals unless they are zero.
std::string to_text(std::int64_t thousandths)
{
    auto const decimals = std::to_string(thousandths % 1000);
    auto out = std::to_string(thousandths / 1000);
    if (thousandths % 1000 != 0)
        out += "." + std::string(3 - decimals.size(), '0') + decimals;
    return out;
}

std::string to_text(bool value)
{
    return value ? "true" : "false";
}

void flatten_customers(fleet_config const& config, flat_plan& out)
{
    for (auto const& [id, it] : config.customers)
    {
        auto const place = "customers/" + id.value();
        out[place + "/rate"] = to_text(it.rate.count()) + " requests/s";
        out[place + "/burst"] = to_text(it.burst.count()) + " requests";
        out[place + "/home"] = it.home.value();
        for (auto const& key : it.keys)
            out[place + "/keys/" + key_id_of(key).value()] = "in force";
    }
}

void flatten_routes(fleet_config const& config, flat_plan& out)
{
    for (auto const& [id, it] : config.routes)
    {
        auto const place = "routes/" + id.value();
        out[place + "/open"] = to_text(it.open);
        out[place + "/idempotent"] = to_text(it.idempotent);
        out[place + "/version"] = it.version.value();
        if (it.customers.empty())
            out[place + "/customers"] = "all";
        for (auto const& customer : it.customers)
            out[place + "/customers/" + customer.value()] = "allowed";
    }
}

void flatten_links_and_moves(fleet_plan const& plan, flat_plan& out)
{
    for (auto const& [id, cap] : plan.config->link_caps)
        out["links/" + id.from.value() + ":" + id.to.value()] =
            std::to_string(cap.count()) + " bytes/s";
    for (auto const& [id, it] : plan.moves)
    {
        auto const place = "moves/" + id.value();
        out[place + "/version"] = it.terms.version.value();
        out[place + "/cap"] = std::to_string(it.terms.cap.count()) + " per mille";
        out[place + "/deadline"] = std::to_string(it.terms.deadline.value()) + " us since 1970";
    }
}

flat_plan flatten(fleet_plan const& plan)
{
    flat_plan out;
    flatten_customers(*plan.config, out);
    flatten_routes(*plan.config, out);
    flatten_links_and_moves(plan, out);
    return out;
}

} // namespace

std::vector<config_difference> differences_of(fleet_plan const& before, fleet_plan const& after)
{
    auto const old_values = flatten(before);
    auto const new_values = flatten(after);
    std::map<std::string, config_difference> differences;
    for (auto const& [place, value] : old_values)
        differences[place] = {.place = place, .before = value, .after = {}};
    for (auto const& [place, value] : new_values)
    {
        differences[place].place = place;
        differences[place].after = value;
    }
    std::vector<config_difference> out;
    for (auto& [place, it] : differences)
        if (it.before != it.after)
            out.push_back(std::move(it));
    return out;
}

} // namespace mulberryrudder::control::internal
