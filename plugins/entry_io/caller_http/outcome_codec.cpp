#include "answer_codec.hpp"

#include <mulberryrudder/core/header_names.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/json/object.hpp>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;

http_response encode_what(request_id, entry::answered const& it)
{
    return encode_reply(*it.content);
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

http_response encode(bad_request const& what)
{
    return problem(what.status, {{"type", "about:blank"},
                                 {"status", what.status},
                                 {"reason", "bad_request"},
                                 {"verdict", to_string(verdict::not_run)},
                                 {"expected", what.expected}});
}

http_response encode_refusal(entry::refusal_kind const& why)
{
    return encode_what(request_id(), entry::refused{.why = &why});
}

} // namespace mulberryrudder::caller_http
