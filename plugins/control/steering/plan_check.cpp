#include <mulberryrudder/control/steering.hpp>

#include <algorithm>
#include <set>

namespace mulberryrudder::control
{

namespace
{

/// Operators mistake units above this, so a longer timeout is refused.
constexpr std::chrono::minutes longest_timeout{10};
/// An aim so far behind the timeout can never matter; it is a slip.
constexpr std::chrono::minutes longest_aim_beyond_timeout{1};

void check_route(plan_route const& it, std::set<service_id> const& known, failures& out)
{
    auto const expect = [&](bool right, std::string const& member, std::string expected)
    {
        if (!right)
            out.push_back({.place = "/routes/" + it.id.value() + "/" + member,
                           .expected = std::move(expected)});
    };
    expect(!it.host.empty(), "host", "a host that is not empty");
    expect(it.timeout > milliseconds(0), "timeout", "more than 0 ms");
    expect(it.timeout <= longest_timeout, "timeout", "at most ten minutes");
    expect(it.aim < it.timeout + longest_aim_beyond_timeout, "aim",
           "less than a minute beyond the timeout");
    weight sum;
    for (auto const& part : it.services)
    {
        expect(known.contains(part.service), "services", "services of this plan");
        expect(part.part >= weight(0), "services", "no part below 0");
        sum += part.part;
    }
    expect(sum > weight(0), "services", "parts that add up to more than 0");
}

void check_customers(traffic_plan const& plan, failures& out)
{
    std::set<digest> seen;
    std::set<customer_id> names;
    for (auto const& it : plan.customers)
    {
        auto const place = "/customers/" + it.id.value();
        if (!names.insert(it.id).second)
            out.push_back({.place = place, .expected = "each customer once"});
        for (auto const& key : it.keys)
            if (!seen.insert(key).second)
                out.push_back({.place = place + "/keys", .expected = "keys of no other customer"});
    }
}

} // namespace

failures check_plan(traffic_plan const& it)
{
    failures out;
    std::set<service_id> known;
    for (auto const& service : it.services)
        if (!known.insert(service.id).second)
            out.push_back(
                {.place = "/services/" + service.id.value(), .expected = "each service once"});
    std::set<std::pair<std::string, std::string>> places;
    for (auto const& route : it.routes)
    {
        check_route(route, known, out);
        if (!places.emplace(route.host, route.path_prefix).second)
            out.push_back({.place = "/routes/" + route.id.value(),
                           .expected = "a host and path prefix of no other route"});
    }
    check_customers(it, out);
    return out;
}

} // namespace mulberryrudder::control
