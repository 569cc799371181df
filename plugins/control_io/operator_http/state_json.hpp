#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_STATE_JSON_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_STATE_JSON_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>

namespace mulberryrudder::operator_http
{

/// Returns a note's record as JSON.
boost::json::object to_json(control::note_record const& it);

/// Returns what became of a command, with the HTTP status that fits.
json_answer encode_result(control::change_result const& it);

} // namespace mulberryrudder::operator_http

#endif
