#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_REQUEST_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_REQUEST_CODEC_HPP

#include "caller_settings.hpp"

#include <mulberryrudder/entry/inputs.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <variant>

namespace mulberryrudder::caller_http
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Tells a caller that its request could not be read as one of ours.
struct bad_request
{
    std::uint16_t status = 400;
    std::string expected;
};

/// Asks for the counters.
struct counters_asked
{
};

/// Asks whether the process answers at all.
struct health_asked
{
};

/// Asks whether the instance takes callers.
struct readiness_asked
{
};

/// What a caller or a target can ask for over HTTP.
using decoded =
    std::variant<entry::request_arrived, entry::question_arrived, entry::lookup_arrived,
                 entry::announcement, counters_asked, health_asked, readiness_asked, bad_request>;

/// What the decoder needs besides the request.
struct decoding
{
    caller_settings const& config;
    request_id id;
    client_address client;
    instant first_byte; ///< When the request's first byte was read; its deadline counts from here.
    connection_id connection;
    bool for_operators = false; ///< It came to an address that is not for callers.
};

/// Reads a request: `/v1/...` is the system's own, `/ROUTE/...` is forwarded. The
/// customer's key is replaced by its digest and stands nowhere in the result.
decoded decode(http_request&& from, decoding const& with);

/// Reads a target's announcement (JSON).
decoded decode_announcement(std::string_view body);

} // namespace mulberryrudder::caller_http

#endif
