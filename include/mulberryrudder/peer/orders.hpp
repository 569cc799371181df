#ifndef MULBERRYRUDDER_PEER_ORDERS_HPP
#define MULBERRYRUDDER_PEER_ORDERS_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/kernel/wiring.hpp>

#include <cstddef>
#include <variant>

namespace mulberryrudder::peer
{

/// Tells the peer link where an instance is reached.
struct learn_instance
{
    instance_id id;
    endpoint where;
    bool restarted = false; ///< A connection that is open leads to its last process.
};

/// What a decision duty asks of the peer link; arrived messages come back as `envelope`.
using order = std::variant<envelope, learn_instance>;

} // namespace mulberryrudder::peer

namespace mulberryrudder
{

/// Names of the duties and sizes of the rings between them, shared by both ends.
namespace duties
{
inline kernel::duty_name const decision{"decision"};
inline kernel::duty_name const caller_io{"caller_io"};
inline kernel::duty_name const target_io{"target_io"};
inline kernel::duty_name const peer_link{"peer_link"};
inline kernel::duty_name const operator_io{"operator_io"};
inline kernel::duty_name const disk{"disk"};
} // namespace duties

/// Messages that fit into the ring between two duties.
inline constexpr std::size_t duty_ring_capacity = 8192;

/// Places of the duties in the order of their start; they stop in reverse.
namespace duty_order
{
inline constexpr int decision = 100;
inline constexpr int disk = 200;
inline constexpr int peer_link = 300;
inline constexpr int target_io = 400;
inline constexpr int caller_io = 500;
inline constexpr int operator_io = 600;
} // namespace duty_order

} // namespace mulberryrudder

#endif
