#include "http_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace mulberryrudder::http_fields
{

namespace
{

namespace http = boost::beast::http;

struct method_row
{
    http::verb verb;
    call_method method;
};

constexpr std::array methods{
    method_row{http::verb::get, call_method::get},
    method_row{http::verb::head, call_method::head},
    method_row{http::verb::put, call_method::put},
    method_row{http::verb::delete_, call_method::remove},
    method_row{http::verb::post, call_method::post},
    method_row{http::verb::patch, call_method::patch},
};

} // namespace

std::optional<call_method> method_of(http::verb verb)
{
    auto const same = [verb](method_row const& row) { return row.verb == verb; };
    auto const it = std::find_if(methods.begin(), methods.end(), same);
    return it == methods.end() ? std::nullopt : std::optional(it->method);
}

http::verb verb_of(call_method method)
{
    auto const same = [method](method_row const& row) { return row.method == method; };
    return std::find_if(methods.begin(), methods.end(), same)->verb;
}

bool concerns_connection(http::field name)
{
    constexpr std::array all{http::field::connection,       http::field::keep_alive,
                             http::field::proxy_connection, http::field::te,
                             http::field::trailer,          http::field::upgrade,
                             http::field::content_length,   http::field::transfer_encoding};
    return std::find(all.begin(), all.end(), name) != all.end();
}

bool read_single(http::fields const& from, std::string_view name, std::optional<std::string>& out)
{
    auto const [first, last] = from.equal_range(name);
    if (first == last)
        return true;
    if (std::next(first) != last)
        return false;
    out = std::string(first->value());
    return true;
}

bool read_number(std::string_view text, std::int64_t& out)
{
    auto const* const last = text.data() + text.size();
    auto const read = std::from_chars(text.data(), last, out);
    return read.ec == std::errc{} && read.ptr == last && out >= 0;
}

} // namespace mulberryrudder::http_fields
