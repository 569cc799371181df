#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_HTTP_FIELDS_HTTP_FIELDS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_HTTP_FIELDS_HTTP_FIELDS_HPP

#include <mulberryrudder/core/exchange.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::http_fields
{

/// What the codecs of callers and targets share, whatever header names they use.
///
/// Thread safety: any thread.

/// Returns the method of a request; nothing for one that is not forwarded.
std::optional<call_method> method_of(boost::beast::http::verb verb);
boost::beast::http::verb verb_of(call_method method);

/// Returns whether a field concerns one connection only and is not passed on (RFC 9110,
/// 7.6.1); the length is set anew for each message.
bool concerns_connection(boost::beast::http::field name);

/// Returns the fields for which `is_passed_on` holds, in their order.
template <class Predicate>
std::vector<header_field> fields_passed_on(boost::beast::http::fields const& from,
                                           Predicate const& is_passed_on)
{
    std::vector<header_field> out;
    for (auto const& it : from)
        if (is_passed_on(it))
            out.push_back({std::string(it.name_string()), std::string(it.value())});
    return out;
}

/// Reads a field that may be given once; false if it is given more than once.
bool read_single(boost::beast::http::fields const& from, std::string_view name,
                 std::optional<std::string>& out);

/// Reads a whole number that is not below 0; false if `text` is anything else.
bool read_number(std::string_view text, std::int64_t& out);

} // namespace mulberryrudder::http_fields

#endif
