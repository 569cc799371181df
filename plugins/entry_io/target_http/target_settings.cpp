#include "target_settings.hpp"

namespace mulberryrudder::target_http
{

namespace
{

constexpr kernel::limits connect_times{10, 60'000};
constexpr kernel::limits idle_times{10, 3'600'000};
constexpr kernel::limits header_bytes{256, 1'048'576};
constexpr kernel::limits body_bytes{0, 268'435'456};

} // namespace

kernel::section<target_settings> const target_section{
    "target_connections",
    {
        field("connect_limit", &target_settings::connect_limit, connect_times,
              "Milliseconds a connection to a target may take to come about."),
        field("idle_limit", &target_settings::idle_limit, idle_times,
              "Milliseconds an unused connection to a target is kept."),
        field("silence_limit", &target_settings::silence_limit, connect_times,
              "Milliseconds for which sent bytes may stay unconfirmed before a connection to a "
              "target counts as lost."),
        field("lenient", &target_settings::lenient, kernel::unbounded,
              "Whether whole replies are passed on that end with their connection or have bytes "
              "behind them; only for targets that reset the connections they cut."),
        field("most_header", &target_settings::most_header, header_bytes,
              "Bytes of a reply's header at most."),
        field("most_body", &target_settings::most_body, body_bytes,
              "Bytes of a reply's body at most; a larger reply is never passed on."),
        field("most_unread", &target_settings::most_unread, body_bytes,
              "Bytes of replies that have not come whole, over all connections; a reply that "
              "would exceed this is given up."),
    }};

} // namespace mulberryrudder::target_http
