#ifndef MULBERRYRUDDER_ENTRY_EFFECTS_HPP
#define MULBERRYRUDDER_ENTRY_EFFECTS_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>
#include <mulberryrudder/entry/request.hpp>

#include <variant>
#include <vector>

namespace mulberryrudder::entry
{

/// Answers a caller's request; exactly one is made for each request.
struct answer_caller
{
    request_id id;
    outcome what;
};

/// Answers a look-up: where to go, best first. Empty if the route is unknown.
struct answer_lookup
{
    request_id id;
    std::vector<endpoint> instances;
    milliseconds time_to_live; ///< How long the caller may use the answer.
};

/// Answers an operator's question; the body is empty if no stage knows it.
struct answer_question
{
    request_id id;
    any_message body;
};

/// Sends a request to a target. Its end is told by attempt_replied or attempt_failed.
struct send_attempt
{
    attempt_id id;
    request_id request;
    target_id target;
    endpoint where;
    connections most_connections; ///< This instance's part of the target's connections.
    customer_id customer;
    route_id route;
    shared_call content;
    instant deadline;
};

/// Gives an attempt up: its connection is closed. attempt_failed still follows.
struct cancel_attempt
{
    attempt_id id;
};

/// Asks a target for its health; probe_ended follows.
struct probe_target
{
    target_id id;
    endpoint where;
    instant deadline;
};

/// Drops idle connections to a target that left.
struct forget_target
{
    target_id id;
};

/// Sends a message to another instance.
struct send_message
{
    envelope message;
};

/// Tells the peer link where an instance is reached.
struct learn_instance
{
    instance_id id;
    endpoint peer;
};

/// The planned stop is complete: nothing runs and no caller is left.
struct stop_completed
{
};

/// The instance holds a configuration: callers may connect. Told once.
struct accept_callers
{
};

/// The newest plan states other limits on what callers send.
struct limit_callers
{
    caller_limits limits;
};

/// Caller connections may be closed after their current answer.
struct close_idle_callers
{
};

/// All that the entry's decision core can ask for.
using effect =
    std::variant<answer_caller, answer_lookup, answer_question, send_attempt, cancel_attempt,
                 probe_target, forget_target, send_message, learn_instance, stop_completed,
                 close_idle_callers, accept_callers, limit_callers>;
using effects = std::vector<effect>;

} // namespace mulberryrudder::entry

#endif
