#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_DUPLICATE_NAMES_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_DUPLICATE_NAMES_HPP

#include <mulberryrudder/core/error.hpp>

#include <string_view>

namespace mulberryrudder::operator_http
{

/// Reports each name that stands twice in one object, with its JSON pointer: the
/// JSON library would keep the last one and drop the others without a word.
/// Precondition: `text` is JSON with comments that kernel::parse_json accepted.
void find_duplicate_names(std::string_view text, failures& failed);

} // namespace mulberryrudder::operator_http

#endif
