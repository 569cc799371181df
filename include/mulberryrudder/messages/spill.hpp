#ifndef MULBERRYRUDDER_MESSAGES_SPILL_HPP
#define MULBERRYRUDDER_MESSAGES_SPILL_HPP

#include <mulberryrudder/core/client_address.hpp>
#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/exchange.hpp>
#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/verdict.hpp>

#include <optional>
#include <string>

namespace mulberryrudder::messages
{

/// Asks an entry instance of another failure domain to run a request that was
/// admitted here. It counts against the sender's headroom grant until its reply.
struct spill_request
{
    request_id id; ///< The sender's.
    customer_id customer;
    std::optional<digest> key;
    route_id route;
    version_id version;
    bool repeatable = false;
    std::optional<std::string> idempotency_key;
    client_address client;
    microseconds remaining; ///< Until the request's deadline, when it was sent.
    shared_call content;
};

/// Tells how a spilled request ended.
struct spill_reply
{
    request_id id;
    shared_reply content; ///< Null if it was refused.
    verdict run = verdict::not_run;
    std::optional<milliseconds> retry_after;
};

/// Tells that nobody waits for a spilled request any more.
struct spill_cancel
{
    request_id id;
};

} // namespace mulberryrudder::messages

#endif
