#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_NOTE_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_NOTE_CODEC_HPP

#include <mulberryrudder/control/release_note.hpp>
#include <mulberryrudder/core/error.hpp>

#include <string_view>

namespace mulberryrudder::operator_http
{

/// Reads a release note from JSON with comments. On error the LEAF error carries
/// `failures`: a syntax error has `note:LINE:COLUMN` as its place, others a JSON
/// pointer; all of the latter are reported at once.
///
/// Thread safety: any thread.
result<control::release_note> decode_note(std::string_view text);

} // namespace mulberryrudder::operator_http

#endif
