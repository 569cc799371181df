#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_OBJECT_DECODING_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_OBJECT_DECODING_HPP

#include "duplicate_names.hpp"
#include "value_readers.hpp"

#include <mulberryrudder/control_io/operator_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <utility>
#include <vector>

namespace mulberryrudder::operator_http
{

/// Reads a request that is one JSON object by its table of members; otherwise
/// makes the answer that lists all errors.
template <class Request, std::vector<kernel::field_spec<Request>> const& (*Rows)()>
decoded decode_object(request_text const& from)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<decoded>
        {
            BOOST_LEAF_AUTO(root, kernel::parse_json(from.body, "request"));
            failures failed;
            find_duplicate_names(from.body, failed);
            Request request;
            kernel::read_members(root, {"", failed}, Rows(), request);
            if (!failed.empty())
                return boost::leaf::new_error(std::move(failed));
            return decoded(any_message::of(std::move(request)));
        },
        [](failures const& failed) -> decoded { return refuse(failed); },
        []() -> decoded { return refuse({{.place = "request", .expected = "an object"}}); });
}

} // namespace mulberryrudder::operator_http

#endif
