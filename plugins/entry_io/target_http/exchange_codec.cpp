#include "exchange_codec.hpp"

#include "plugins/entry_io/http_fields/http_fields.hpp"

#include <mulberryrudder/core/header_names.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>

namespace mulberryrudder::target_http
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned http_version = 11;

bool is_passed_on(http::fields::value_type const& it)
{
    if (http_fields::concerns_connection(it.name()))
        return false;
    return !boost::beast::iequals(it.name_string().substr(0, 9), "Mulberry-");
}

} // namespace

http_request encode(entry::send_attempt const& what, instant now)
{
    auto const& from = *what.content;
    http_request out(http_fields::verb_of(from.method), "/" + what.route.value() + from.path,
                     http_version);
    for (auto const& it : from.fields)
        out.insert(it.name, it.value);
    auto const left = std::chrono::ceil<milliseconds>(what.deadline - now);
    out.set(http::field::host, to_string(what.where));
    out.set(header_names::request_id, std::to_string(what.request.value()));
    out.set(header_names::deadline, std::to_string(std::max(left.count(), milliseconds::rep{1})));
    if (!what.customer.value().empty())
        out.set(header_names::customer, what.customer.value());
    out.body() = from.body;
    out.keep_alive(true);
    out.prepare_payload();
    return out;
}

http_request encode(entry::probe_target const& what)
{
    http_request out(http::verb::get, "/health", http_version);
    out.set(http::field::host, to_string(what.where));
    out.keep_alive(true);
    return out;
}

bool is_reply_to(http_reply const& it, entry::send_attempt const& expected)
{
    auto const echoed = it.find(header_names::request_id);
    return echoed == it.end() || echoed->value() == std::to_string(expected.request.value());
}

std::optional<entry::attempt_failure> turned_away(http_reply const& it)
{
    bool const shed =
        it.result() == http::status::service_unavailable && it[header_names::not_run] == "true";
    return shed ? std::optional(entry::attempt_failure::shed) : std::nullopt;
}

std::optional<entry::load_report> read_load(http_reply const& it, failures& failed)
{
    std::string_view const text = it[header_names::load];
    if (text.empty())
        return std::nullopt;
    auto const slash = std::min(text.find('/'), text.size());
    auto const last = text.substr(std::min(slash + 1, text.size()));
    std::int64_t busy = 0;
    std::int64_t total = 0;
    if (!http_fields::read_number(text.substr(0, slash), busy) ||
        !http_fields::read_number(last, total) || std::max(busy, total) > max_load_count)
    {
        failed.push_back({.place = std::string(header_names::load),
                          .expected = "two whole numbers up to a million, with '/' between"});
        return std::nullopt;
    }
    return entry::load_report{.busy = slots(busy), .total = slots(total)};
}

/// The product's targets announce that they leave, and say how busy they are in their load.
entry::target_wishes read_wishes(http_reply const&, failures&)
{
    return {};
}

shared_reply decode(http_reply&& from)
{
    return std::make_shared<reply const>(
        reply{.status = static_cast<std::uint16_t>(from.result_int()),
              .fields = http_fields::fields_passed_on(from, is_passed_on),
              .body = std::move(from.body())});
}

} // namespace mulberryrudder::target_http
