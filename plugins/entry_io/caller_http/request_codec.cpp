#include "request_codec.hpp"

#include "plugins/entry_io/http_fields/http_fields.hpp"

#include <mulberryrudder/core/header_names.hpp>
#include <mulberryrudder/entry/questions.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view explain_path = "/v1/explain/";
/// Bytes of an idempotency key at most.
constexpr std::size_t most_idempotency_key = 255;

/// Fields that concern one connection only, carry the key, or are set by the system.
bool is_forwarded(http::fields::value_type const& it)
{
    constexpr std::array held_back{http::field::authorization, http::field::host,
                                   http::field::expect, http::field::proxy_authorization};
    if (http_fields::concerns_connection(it.name()) ||
        std::find(held_back.begin(), held_back.end(), it.name()) != held_back.end())
        return false;
    return !boost::beast::iequals(it.name_string().substr(0, 9), "Mulberry-");
}

bool read_key(http_request const& from, std::optional<digest>& out)
{
    std::optional<std::string> text;
    if (!http_fields::read_single(from, "Authorization", text))
        return false;
    if (!text)
        return true;
    if (!boost::beast::iequals(text->substr(0, bearer.size()), bearer))
        return false;
    out = sha256(std::string_view(*text).substr(bearer.size()));
    return true;
}

bool read_deadline(http_request const& from, decoding const& with, instant& out)
{
    std::optional<std::string> text;
    if (!http_fields::read_single(from, header_names::deadline, text))
        return false;
    auto limit = with.config.default_deadline;
    if (text)
    {
        std::int64_t n = 0;
        if (!http_fields::read_number(*text, n) || n < 1)
            return false;
        limit = std::min(milliseconds(n), with.config.most_deadline);
    }
    out = with.first_byte + limit;
    return true;
}

decoded decode_lookup(boost::urls::url_view const& target, decoding const& with)
{
    entry::lookup_arrived out{.id = with.id, .client = with.client};
    for (auto const& it : target.params())
    {
        if (it.key == "route")
            out.route = route_id(it.value);
        else if (it.key != "client" || !parse_client_address(it.value, out.client))
            return bad_request{.expected = "a query of \"route\" and \"client\" (an IP number)"};
    }
    if (out.route.value().empty())
        return bad_request{.expected = "\"route\" in the query"};
    return out;
}

decoded decode_explain(std::string_view text, decoding const& with)
{
    std::uint64_t n = 0;
    auto const* const last = text.data() + text.size();
    auto const read = std::from_chars(text.data(), last, n);
    if (read.ec != std::errc{} || read.ptr != last)
        return bad_request{.expected = "/v1/explain/REQUEST-ID, a number"};
    auto asked = any_message::of(entry::explain_request{request_id(n)});
    return entry::question_arrived{.id = with.id, .body = std::move(asked)};
}

decoded decode_own(http_request const& from, boost::urls::url_view const& target,
                   decoding const& with)
{
    auto const path = target.encoded_path();
    bool const is_get = from.method() == http::verb::get;
    if (is_get && path == "/v1/lookup")
        return decode_lookup(target, with);
    if (is_get && path.starts_with(explain_path))
        return decode_explain(path.substr(explain_path.size()), with);
    if (is_get && path == "/v1/counters")
        return counters_asked{};
    if (is_get && path == "/v1/health")
        return health_asked{};
    if (from.method() == http::verb::post && path == "/v1/announce")
        return decode_announcement(from.body());
    return bad_request{.status = 404,
                       .expected = "GET /v1/lookup, /v1/explain/ID, /v1/counters, /v1/health or "
                                   "POST /v1/announce"};
}

shared_call forwarded_call(http_request&& from, call_method method, std::string path)
{
    return std::make_shared<call const>(
        call{.method = method,
             .path = std::move(path),
             .fields = http_fields::fields_passed_on(from, is_forwarded),
             .body = std::move(from.body())});
}

decoded decode_forwarded(http_request&& from, std::string_view target, decoding const& with)
{
    auto const method = http_fields::method_of(from.method());
    if (!method)
        return bad_request{.status = 405, .expected = "GET, HEAD, PUT, DELETE, POST or PATCH"};
    auto const slash = std::min(target.find_first_of("/?", 1), target.size());
    entry::request_arrived out{.id = with.id, .client = with.client};
    out.first_byte = with.first_byte;
    out.connection = with.connection;
    out.route = route_id(std::string(target.substr(1, slash - 1)));
    if (!read_key(from, out.key))
        return bad_request{.expected = "one \"Authorization: Bearer KEY\" at most"};
    if (!http_fields::read_single(from, header_names::idempotency_key, out.idempotency_key) ||
        (out.idempotency_key && out.idempotency_key->size() > most_idempotency_key))
        return bad_request{.expected = "one \"Idempotency-Key\" of at most 255 bytes"};
    if (!read_deadline(from, with, out.deadline))
        return bad_request{.expected = "one \"Mulberry-Deadline-Ms\", a number of milliseconds"};
    auto path = std::string(target.substr(slash));
    if (path.empty() || path.front() != '/')
        path.insert(path.begin(), '/');
    out.content = forwarded_call(std::move(from), *method, std::move(path));
    return out;
}

} // namespace

decoded decode(http_request&& from, decoding const& with)
{
    auto const target = std::string(from.target());
    auto const parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return bad_request{.expected = "a path that starts with '/'"};
    if (target == "/v1" || target.starts_with("/v1/"))
        return decode_own(from, *parsed, with);
    return decode_forwarded(std::move(from), target, with);
}

} // namespace mulberryrudder::caller_http
