#ifndef MULBERRYRUDDER_ENTRY_INPUTS_HPP
#define MULBERRYRUDDER_ENTRY_INPUTS_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/entry/request.hpp>

#include <optional>
#include <set>
#include <variant>

namespace mulberryrudder::entry
{

/// A caller's request was read whole.
struct request_arrived
{
    request_id id;
    std::optional<digest> key;
    route_id route;
    shared_call content;
    std::optional<std::string> idempotency_key;
    client_address client;
    instant deadline;
    std::string host;             ///< That it was sent to, where front ends tell hosts apart.
    object_id object;             ///< What it is about; empty if its caller does not say.
    std::string caller_reference; ///< The caller's own id of the request, for the log.
    /// When its first byte was read; nothing if that is when the decisions take it.
    std::optional<instant> first_byte;
    /// The connection it came on, where others of that connection may be unanswered.
    std::optional<connection_id> connection;
};

/// The caller closed its connection before it was answered.
struct caller_gone
{
    request_id id;
};

/// A caller asks which entry instances to use.
struct lookup_arrived
{
    request_id id;
    route_id route;
    client_address client;
};

/// What a target says of its own load; it may lag or be wrong.
struct load_report
{
    slots busy;
    slots total;
};

/// What a target asks of this instance in a reply, beside the answer itself.
struct target_wishes
{
    bool leaving = false; ///< It stops soon and is to get no further requests.
    /// Time from the reply on for which it is to get no requests; only with a 503.
    std::optional<milliseconds> pause;
};

/// An attempt got a whole, valid reply.
struct attempt_replied
{
    attempt_id id;
    shared_reply content;
    std::optional<load_report> load;
    target_wishes wishes;
};

/// An attempt ended without one.
struct attempt_failed
{
    attempt_id id;
    attempt_failure cause;
    verdict run; ///< `not_run` only if no byte was written, or the target said so.
    std::optional<load_report> load;
    target_wishes wishes;
};

/// The life-cycle state a target announces.
enum class target_state
{
    starting,
    serving,
    leaving
};

/// A target announced itself.
struct announcement
{
    target_id id;
    endpoint where;
    domain_id domain;
    version_id version;
    std::set<route_id> routes;
    slots capacity;
    connections most_connections;
    target_state state = target_state::serving;
    std::optional<load_report> load;
};

/// A probe of a target ended.
struct probe_ended
{
    target_id id;
    bool healthy = false;
    std::optional<load_report> load;
};

/// A message of another instance arrived.
struct message_arrived
{
    envelope message;
};

/// An operator asks something about this instance; the body is a struct of the
/// stage that knows the answer.
struct question_arrived
{
    request_id id;
    any_message body;
};

/// The operating system or the operator asked for a planned stop.
struct stop_requested
{
};

/// All that the entry's decision core is told; time passing is told by `core::tick`.
using input =
    std::variant<request_arrived, caller_gone, lookup_arrived, attempt_replied, attempt_failed,
                 announcement, probe_ended, message_arrived, question_arrived, stop_requested>;

} // namespace mulberryrudder::entry

#endif
