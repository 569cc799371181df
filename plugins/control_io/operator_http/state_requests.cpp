#include "state_json.hpp"
#include "utc_text.hpp"

#include <mulberryrudder/control/operator_state.hpp>

#include <boost/json/array.hpp>

#include <algorithm>

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

decoded decode_status(request_text const&)
{
    return any_message::of(status_query{});
}

decoded decode_config(request_text const&)
{
    return any_message::of(config_query{});
}

json_answer encode_status(status_report const& it)
{
    json_answer out;
    out.body = {{"result", "ok"},
                {"may_act", it.may_act},
                {"leader", nullptr},
                {"term", it.term.value()},
                {"applied", it.applied.value()},
                {"generation", it.generation.value()},
                {"customers", it.customers},
                {"routes", it.routes},
                {"moves", it.moves},
                {"quarantined", it.quarantined},
                {"draining", it.draining}};
    if (it.leader)
        out.body["leader"] = it.leader->value();
    if (it.last_note)
        out.body["last_note"] = to_json(*it.last_note);
    return out;
}

double from_thousandths(std::int64_t n)
{
    return static_cast<double>(n) / 1000.0;
}

boost::json::object customers_json(fleet_config const& config)
{
    boost::json::object out;
    for (auto const& [id, it] : config.customers)
    {
        boost::json::array keys;
        for (auto const& key : it.keys)
            keys.push_back(boost::json::string("sha256:" + to_hex(key)));
        out[id.value()] = {{"rate", from_thousandths(it.rate.count())},
                           {"burst", from_thousandths(it.burst.count())},
                           {"home", it.home.value()},
                           {"keys", std::move(keys)}};
    }
    return out;
}

boost::json::object routes_json(fleet_config const& config)
{
    boost::json::object out;
    for (auto const& [id, it] : config.routes)
    {
        boost::json::array customers;
        for (auto const& customer : it.customers)
            customers.push_back(boost::json::string(customer.value()));
        out[id.value()] = {{"open", it.open},
                           {"idempotent", it.idempotent},
                           {"customers", std::move(customers)},
                           {"version", it.version.value()},
                           {"next", it.next.value()},
                           {"next_share", it.next_share.count()}};
    }
    return out;
}

boost::json::object moves_json(std::map<route_id, move_order> const& moves)
{
    boost::json::object out;
    for (auto const& [id, it] : moves)
        out[id.value()] = {{"from", it.from.value()},
                           {"version", it.terms.version.value()},
                           {"cap", it.terms.cap.count()},
                           {"deadline", to_text(it.terms.deadline)},
                           {"note", it.note.value()}};
    return out;
}

json_answer encode_config(config_report const& it)
{
    auto const& config = *it.plan.config;
    boost::json::object links;
    for (auto const& [id, cap] : config.link_caps)
        links[id.from.value() + ":" + id.to.value()] = cap.count();
    boost::json::array quarantined;
    for (auto const& fingerprint : config.quarantined)
        quarantined.push_back(boost::json::string(to_hex(fingerprint)));
    boost::json::array draining;
    for (auto const& instance : config.draining)
        draining.push_back(instance.value());
    json_answer out;
    out.body = {{"result", "ok"},
                {"may_act", it.may_act},
                {"generation", config.generation.value()},
                {"customers", customers_json(config)},
                {"routes", routes_json(config)},
                {"moves", moves_json(it.plan.moves)},
                {"links", std::move(links)},
                {"quarantined", std::move(quarantined)},
                {"draining", std::move(draining)}};
    return out;
}

request_codec const status({.method = "GET", .path = "/v1/status", .decode = &decode_status});
request_codec const config({.method = "GET", .path = "/v1/config", .decode = &decode_config});
request_codec const counters({.method = "GET", .path = "/v1/counters", .decode = &show_counters});
answer_registrar<status_report, &encode_status> const status_entered;
answer_registrar<config_report, &encode_config> const config_entered;

} // namespace

} // namespace mulberryrudder::operator_http
