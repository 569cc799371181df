#ifndef MULBERRYRUDDER_CORE_EXCHANGE_HPP
#define MULBERRYRUDDER_CORE_EXCHANGE_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mulberryrudder
{

/// What a caller wants done with the resource; only POST and PATCH are not
/// idempotent by themselves.
enum class call_method
{
    get,
    head,
    put,
    remove,
    post,
    patch
};

/// Returns whether running the method twice equals running it once.
constexpr bool is_idempotent(call_method method)
{
    return method != call_method::post && method != call_method::patch;
}

/// A named value that travels with a call or a reply.
struct header_field
{
    std::string name;
    std::string value;

    friend bool operator==(header_field const&, header_field const&) = default;
};

/// A caller's request as a target is to get it: the customer's key is not in it.
struct call
{
    call_method method = call_method::get;
    std::string path; ///< Behind the route's segment; starts with '/'.
    std::vector<header_field> fields;
    std::string body;
};

/// A target's whole answer.
struct reply
{
    std::uint16_t status = 0;
    std::vector<header_field> fields;
    std::string body;

    friend bool operator==(reply const&, reply const&) = default;
};

/// Calls and replies are immutable once made and shared between duties.
using shared_call = std::shared_ptr<call const>;
using shared_reply = std::shared_ptr<reply const>;

} // namespace mulberryrudder

#endif
