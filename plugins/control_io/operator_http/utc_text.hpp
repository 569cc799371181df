#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_UTC_TEXT_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_UTC_TEXT_HPP

#include <mulberryrudder/control/utc_time.hpp>

#include <string>

namespace mulberryrudder::operator_http
{

/// Reads `2026-12-04T18:30:00Z` (RFC 3339 in UTC, whole seconds); false if `text`
/// is anything else, such as a day that does not exist.
bool parse_utc(std::string const& text, control::utc_time& out);

/// Returns the time in the same form, without fractions of a second.
std::string to_text(control::utc_time value);

} // namespace mulberryrudder::operator_http

#endif
