#include "caller_settings.hpp"

#include <algorithm>

namespace mulberryrudder::caller_http
{

namespace
{

constexpr kernel::limits header_bytes{256, 1'048'576};
constexpr kernel::limits body_bytes{0, 67'108'864};
constexpr kernel::limits short_times{10, 600'000};
constexpr kernel::limits long_times{10, 86'400'000};
constexpr kernel::limits connection_counts{1, 60'000};
constexpr kernel::limits pipelined_counts{1, 256};
constexpr kernel::limits descriptor_counts{0, 60'000};

std::optional<std::string> check_callers(caller_settings const& it)
{
    if (it.default_deadline > it.most_deadline)
        return "\"default_deadline\" to be at most \"most_deadline\"";
    return std::nullopt;
}

template <class T>
T narrower(T const& configured, T const& stated)
{
    return stated == T(0) ? configured : std::min(configured, stated);
}

} // namespace

connections affordable(caller_settings const& config, std::int64_t descriptors)
{
    auto const left = std::max(descriptors - config.reserved_descriptors, descriptors / 2);
    return std::min(config.most_connections, connections(left));
}

caller_limits narrowed(caller_settings const& config, caller_limits const& stated)
{
    return {.most_header = narrower(config.most_header, stated.most_header),
            .most_body = narrower(config.most_body, stated.most_body),
            .header_limit = narrower(config.read_limit, stated.header_limit),
            .idle_limit = narrower(config.idle_limit, stated.idle_limit)};
}

kernel::section<caller_settings> const caller_section{
    "callers",
    {
        field("most_header", &caller_settings::most_header, header_bytes,
              "Bytes of a request's header at most; a plan may state fewer."),
        field("most_body", &caller_settings::most_body, body_bytes,
              "Bytes of a request's body at most; a plan may state fewer."),
        field("most_unanswered", &caller_settings::most_unanswered, body_bytes,
              "Bytes of requests that are not answered yet, over all connections; a request that "
              "would exceed this is refused. Bytes of answers that wait for earlier ones have the "
              "same limit, from which on no request is read behind an unanswered one."),
        field("most_pipelined", &caller_settings::most_pipelined, pipelined_counts,
              "Safe requests of one connection that are unanswered at the same time; what is sent "
              "behind them is not read."),
        field("most_waiting_answers", &caller_settings::most_waiting_answers, body_bytes,
              "Bytes of answers of one connection that wait for an earlier answer, from which on "
              "no further request of it is read."),
        field("start_limit", &caller_settings::start_limit, long_times,
              "Milliseconds after the start from which connections are taken without a lease."),
        field("read_limit", &caller_settings::read_limit, short_times,
              "Milliseconds a caller may take to send one whole request, or to take any part of "
              "its answer."),
        field("idle_limit", &caller_settings::idle_limit, long_times,
              "Milliseconds a connection may stay without a request; a plan may state fewer."),
        field("connection_lifetime", &caller_settings::connection_lifetime, long_times,
              "Milliseconds after which a connection is closed behind its current answer."),
        field("default_deadline", &caller_settings::default_deadline, short_times,
              "Milliseconds a request may take if its caller states no deadline."),
        field("most_deadline", &caller_settings::most_deadline, short_times,
              "Milliseconds a caller may state as deadline at most."),
        field("stop_limit", &caller_settings::stop_limit, long_times,
              "Milliseconds for which a planned stop waits, once all requests are answered, for "
              "callers to take their answers."),
        field("operators", &caller_settings::operators, kernel::unbounded,
              "Addresses at which operators ask whether the instance is ready, and for counters."),
        field("most_connections", &caller_settings::most_connections, connection_counts,
              "Connections of callers and targets that are open at the same time; fewer if the "
              "process may not open that many descriptors and the reserved ones."),
        field("reserved_descriptors", &caller_settings::reserved_descriptors, descriptor_counts,
              "Descriptors of the process that callers' connections leave free, for connections to "
              "targets, of other instances and of operators; at most half of all."),
    },
    check_callers};

} // namespace mulberryrudder::caller_http
