#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_OPERATOR_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_OPERATOR_SETTINGS_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <vector>

namespace mulberryrudder::operator_http
{

/// A control instance and where it listens for operators.
struct operator_address
{
    instance_id id;
    endpoint listen;
};

/// The `operators` section.
struct operator_settings
{
    endpoint listen{"127.0.0.1", 7300};
    std::vector<endpoint> also_listen; ///< Further addresses with the same interface.
    std::vector<operator_address> control;
    byte_count most_header{16L * 1024};
    byte_count most_body{1024L * 1024};
    milliseconds read_limit{10'000};
    milliseconds answer_limit{15'000};
    connections most_connections{64};
};

extern kernel::section<operator_settings> const operator_section;

/// Reads one element of `/operators/control`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                operator_address& out);

} // namespace mulberryrudder::operator_http

#endif
