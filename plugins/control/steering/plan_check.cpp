#include <mulberryrudder/control/steering.hpp>

#include <algorithm>
#include <set>

namespace mulberryrudder::control
{

namespace
{

/// A longer timeout is refused, since it probably results from a wrong unit.
constexpr std::chrono::minutes max_timeout{10};
/// An aim that exceeds the timeout by this much is refused as a mistake: it can have no effect.
constexpr std::chrono::minutes max_aim_beyond_timeout{1};

/// Appends a failure for each invalid member of a route. `known` are the services of the plan.
void check_route(plan_route const& route, std::set<service_id> const& known, failures& out)
{
    auto const expect = [&](bool valid, std::string const& member, std::string expected)
    {
        if (!valid)
            out.push_back({.place = "/routes/" + route.id.value() + "/" + member,
                           .expected = std::move(expected)});
    };
    expect(!route.host.empty(), "host", "a host that is not empty");
    expect(route.timeout > milliseconds(0), "timeout", "more than 0 ms");
    expect(route.timeout <= max_timeout, "timeout", "at most ten minutes");
    expect(route.aim < route.timeout + max_aim_beyond_timeout, "aim",
           "less than a minute beyond the timeout");
    weight total;
    for (auto const& share : route.services)
    {
        expect(known.contains(share.service), "services", "services of this plan");
        expect(share.part >= weight(0), "services", "no part below 0");
        total += share.part;
    }
    expect(total > weight(0), "services", "parts that add up to more than 0");
}

/// Appends a failure for each customer that occurs twice and each key of two customers.
void check_customers(traffic_plan const& plan, failures& out)
{
    std::set<digest> keys;
    std::set<customer_id> ids;
    for (auto const& customer : plan.customers)
    {
        auto const place = "/customers/" + customer.id.value();
        if (!ids.insert(customer.id).second)
            out.push_back({.place = place, .expected = "each customer once"});
        for (auto const& key : customer.keys)
            if (!keys.insert(key).second)
                out.push_back({.place = place + "/keys", .expected = "keys of no other customer"});
    }
}

} // namespace

failures check_plan(traffic_plan const& plan)
{
    failures out;
    std::set<service_id> known;
    for (auto const& service : plan.services)
        if (!known.insert(service.id).second)
            out.push_back(
                {.place = "/services/" + service.id.value(), .expected = "each service once"});
    std::set<std::pair<std::string, std::string>> matches;
    for (auto const& route : plan.routes)
    {
        check_route(route, known, out);
        if (!matches.emplace(route.host, route.path_prefix).second)
            out.push_back({.place = "/routes/" + route.id.value(),
                           .expected = "a host and path prefix of no other route"});
    }
    check_customers(plan, out);
    return out;
}

} // namespace mulberryrudder::control
