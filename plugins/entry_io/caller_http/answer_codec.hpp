#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_ANSWER_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_ANSWER_CODEC_HPP

#include "request_codec.hpp"

#include <mulberryrudder/entry/effects.hpp>
#include <mulberryrudder/kernel/counters.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace mulberryrudder::caller_http
{

using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Returns an answer with a body.
http_response with_body(unsigned status, std::string_view type, std::string body);

/// Returns a problem document (RFC 9457).
http_response problem(unsigned status, boost::json::object const& what);

/// Encodes a target's reply, as it is passed on to a caller.
http_response encode_reply(reply const& what);

/// Encodes what became of a request. A refusal is a problem document (RFC 9457)
/// with `reason` and `verdict`.
http_response encode(request_id id, entry::outcome const& what);

/// Encodes a look-up's answer as JSON; 404 if the route is unknown.
http_response encode(entry::answer_lookup const& what);

/// Encodes the answer to an operator's question; 404 if no stage knew it.
http_response encode(entry::answer_question const& what);

/// Encodes the refusal of a request that could not be read.
http_response encode(bad_request const& what);

/// Encodes the counters in the text form that common collectors read.
http_response encode(kernel::counter_set const& counters);

/// Encodes a refusal by the front end itself, which has not run.
http_response encode_refusal(entry::refusal_kind const& why);

/// Returns an empty answer with a status.
http_response encode_status(std::uint16_t status);

} // namespace mulberryrudder::caller_http

#endif
