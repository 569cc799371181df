#include "answer_codec.hpp"

#include <mulberryrudder/entry/questions.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace mulberryrudder::caller_http
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned http_version = 11;

} // namespace

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

http_response encode_reply(reply const& what)
{
    http_response out(static_cast<http::status>(what.status), http_version);
    for (auto const& field : what.fields)
        out.insert(field.name, field.value);
    out.body() = what.body;
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

http_response encode(kernel::counter_set const& counters)
{
    return with_body(200, kernel::counters_text_type, kernel::counters_text(counters));
}

http_response encode_status(std::uint16_t status)
{
    return http_response(static_cast<http::status>(status), http_version);
}

} // namespace mulberryrudder::caller_http
