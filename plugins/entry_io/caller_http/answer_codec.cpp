#include "answer_codec.hpp"

#include <mulberryrudder/core/header_names.hpp>
#include <mulberryrudder/entry/questions.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned http_version = 11;

http_response with_body(unsigned status, std::string_view type, std::string body)
{
    http_response out(static_cast<http::status>(status), http_version);
    out.set(http::field::content_type, type);
    out.body() = std::move(body);
    return out;
}

http_response problem(unsigned status, boost::json::object const& what)
{
    return with_body(status, "application/problem+json", boost::json::serialize(what));
}

http_response encode_what(request_id, entry::answered const& it)
{
    http_response out(static_cast<http::status>(it.content->status), http_version);
    for (auto const& field : it.content->fields)
        out.insert(field.name, field.value);
    out.body() = it.content->body;
    return out;
}

http_response encode_what(request_id id, entry::refused const& it)
{
    auto const& why = it.why->what();
    auto out = problem(why.status, {{"type", "about:blank"},
                                    {"status", why.status},
                                    {"title", why.meaning},
                                    {"reason", why.name},
                                    {"verdict", to_string(it.run)},
                                    {"request_id", std::to_string(id.value())}});
    out.set(header_names::verdict, to_string(it.run));
    if (it.retry_after)
    {
        auto const whole = std::chrono::ceil<seconds>(*it.retry_after);
        out.set(http::field::retry_after, std::to_string(whole.count()));
    }
    return out;
}

} // namespace

http_response encode(request_id id, entry::outcome const& what)
{
    auto out = std::visit([id](auto const& it) { return encode_what(id, it); }, what);
    out.set(header_names::request_id, std::to_string(id.value()));
    return out;
}

http_response encode(entry::answer_lookup const& what)
{
    if (what.instances.empty())
        return problem(404, {{"status", 404}, {"reason", "unknown_route"}});
    boost::json::array instances;
    for (auto const& it : what.instances)
        instances.emplace_back(to_string(it));
    return with_body(
        200, "application/json",
        boost::json::serialize(boost::json::object{{"instances", std::move(instances)},
                                                   {"ttl_ms", what.time_to_live.count()}}));
}

http_response encode(entry::answer_question const& what)
{
    auto const* const told = what.body.get<entry::request_explanation>();
    if (told == nullptr || !told->known)
        return problem(404, {{"status", 404}, {"reason", "unknown_request"}});
    boost::json::array steps;
    for (auto const& it : told->steps)
        steps.push_back({{"after_ms", it.since_arrival.count()}, {"what", it.what}});
    boost::json::object const out{{"request_id", std::to_string(told->request.value())},
                                  {"customer", told->customer.value()},
                                  {"route", told->route.value()},
                                  {"version", told->version.value()},
                                  {"steps", std::move(steps)}};
    return with_body(200, "application/json", boost::json::serialize(out));
}

http_response encode(bad_request const& what)
{
    return problem(what.status, {{"type", "about:blank"},
                                 {"status", what.status},
                                 {"reason", "bad_request"},
                                 {"verdict", to_string(verdict::not_run)},
                                 {"expected", what.expected}});
}

http_response encode(kernel::counter_set const& counters)
{
    std::string text;
    for (auto const& [name, value] : counters.snapshot())
    {
        std::string metric = "mulberryrudder_" + std::string(name);
        std::replace(metric.begin(), metric.end(), '.', '_');
        text += metric + " " + std::to_string(value) + "\n";
    }
    return with_body(200, "text/plain; version=0.0.4", std::move(text));
}

http_response encode_refusal(entry::refusal_kind const& why)
{
    return encode_what(request_id(), entry::refused{.why = &why});
}

http_response encode_status(std::uint16_t status)
{
    return http_response(static_cast<http::status>(status), http_version);
}

} // namespace mulberryrudder::caller_http
