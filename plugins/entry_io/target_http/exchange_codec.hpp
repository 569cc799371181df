#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_EXCHANGE_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_EXCHANGE_CODEC_HPP

#include <mulberryrudder/core/error.hpp>
#include <mulberryrudder/entry/effects.hpp>
#include <mulberryrudder/entry/inputs.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace mulberryrudder::target_http
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_reply = boost::beast::http::response<boost::beast::http::string_body>;

/// Limit of each count in a target's load. Counts beyond it are mistakes, and their sums could
/// overflow.
inline constexpr std::int64_t max_load_count = 1'000'000;

/// Encodes an attempt; the customer's name goes with it, the key does not.
http_request encode(entry::send_attempt const& what, instant now);

/// Encodes a probe.
http_request encode(entry::probe_target const& what);

/// Returns whether a whole reply is the one to this attempt: a target that echoes
/// the request's id must echo the right one.
bool is_reply_to(http_reply const& it, entry::send_attempt const& expected);

/// Returns why the target says that it did not run the request; nothing if it does
/// not say so.
std::optional<entry::attempt_failure> turned_away(http_reply const& it);

/// Returns the load that the reply tells, if it does. A value that cannot be read or is out of
/// bounds counts as none; `failed` then names the field.
std::optional<entry::load_report> read_load(http_reply const& it, failures& failed);

/// Returns what the target asks of this instance. A field that cannot be read asks nothing;
/// `failed` names each one whose number is out of bounds.
entry::target_wishes read_wishes(http_reply const& it, failures& failed);

/// Takes a reply over, without the fields that concern one connection.
shared_reply decode(http_reply&& from);

} // namespace mulberryrudder::target_http

#endif
