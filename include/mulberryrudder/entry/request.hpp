#ifndef MULBERRYRUDDER_ENTRY_REQUEST_HPP
#define MULBERRYRUDDER_ENTRY_REQUEST_HPP

#include <mulberryrudder/core/client_address.hpp>
#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/exchange.hpp>
#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/core/verdict.hpp>
#include <mulberryrudder/entry/refusal.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mulberryrudder::entry
{

/// A target that was chosen for an attempt.
struct chosen_target
{
    target_id id;
    endpoint where;
    version_id version;
    connections most_connections; ///< This instance's part of the target's connections.
    start_id start{};             ///< Where targets tell their starts apart.
};

/// One sending of a request to a target.
struct attempt
{
    attempt_id id;
    chosen_target target;
    instant started;
    bool running = true;
    verdict run = verdict::may_have_run; ///< Settled once it no longer runs.
};

/// Where a request came from, if not from a caller of this instance.
struct forwarded_from
{
    instance_id instance;
    request_id id; ///< The sender's id of the request.
};

/// A request on its way through the stages. Stages may set the members of their
/// own decision and leave the others alone.
struct request
{
    request_id id;
    std::optional<digest> key; ///< Digest of the key that came with it.
    route_id route;
    shared_call content;
    std::optional<std::string> idempotency_key;
    client_address client;
    instant arrived;
    instant first_byte; ///< When its first byte was read; not after `arrived`.
    instant deadline;
    std::optional<forwarded_from> origin;
    std::string host;
    object_id object;
    std::string caller_reference;
    std::optional<connection_id> connection; ///< Nothing if it came from another instance.

    customer_id customer;    ///< Set by the key stage; empty on open routes without a key.
    bool repeatable = false; ///< Idempotent by method or route; set by the key stage.
    version_id version;      ///< Set by the version stage.
    std::optional<chosen_target> chosen; ///< Set by the target stage for the next attempt.
    std::vector<attempt> attempts;
    /// The plan under which it was admitted, and its route there; set by the route stage
    /// of fleets that are steered by plans.
    shared_steering steering;
    /// As of when that plan was the newest when the request was admitted; nothing if control never
    /// confirmed it.
    std::optional<instant> plan_confirmed_at;
    plan_route const* planned = nullptr;
    plan_customer const* payer = nullptr; ///< Null on open routes.
    service_id service;                   ///< Set by the placement stage, once.
    std::string why; ///< What the last stage that decided it went by, for the log.
    /// What another instance may have done with it; set by the stage that forwards.
    verdict run_elsewhere = verdict::not_run;
    bool caller_left = false; ///< It runs on, but nobody waits for its answer.
};

/// A request was answered with a target's whole reply.
struct answered
{
    shared_reply content;
};

/// A request was refused.
struct refused
{
    refusal_kind const* why = nullptr;
    verdict run = verdict::not_run;
    std::optional<milliseconds> retry_after; ///< When the caller may try again, if known.
};

/// What became of a request.
using outcome = std::variant<answered, refused>;

/// Why an attempt ended without a whole, valid reply.
enum class attempt_failure
{
    connect_refused, ///< No connection; nothing was sent.
    connect_timeout,
    closed, ///< The connection ended before the whole reply.
    timeout,
    malformed,   ///< Not a valid reply, too large, or of another request.
    shed,        ///< The target said that it did not run the request.
    misdirected, ///< Another target has the address; it did not run the request.
    cancelled
};

/// Returns the failure's name as it stands in events.
std::string_view to_string(attempt_failure cause);

} // namespace mulberryrudder::entry

#endif
