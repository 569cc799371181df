#ifndef MULBERRYRUDDER_ENTRY_QUESTIONS_HPP
#define MULBERRYRUDDER_ENTRY_QUESTIONS_HPP

#include <mulberryrudder/entry/request.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mulberryrudder::entry
{

/// Asks what became of a request, and why.
struct explain_request
{
    request_id request;
};

/// One step of a request's way.
struct explained_step
{
    milliseconds since_arrival;
    std::string what; ///< Such as `sent to target t-1` or `refused: rate_exceeded`.
};

/// What the instance remembers of a request.
struct request_explanation
{
    request_id request;
    bool known = false; ///< False if it never came here or is forgotten.
    customer_id customer;
    route_id route;
    version_id version;
    std::vector<explained_step> steps;
};

} // namespace mulberryrudder::entry

#endif
