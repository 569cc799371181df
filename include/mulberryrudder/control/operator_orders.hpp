#ifndef MULBERRYRUDDER_CONTROL_OPERATOR_ORDERS_HPP
#define MULBERRYRUDDER_CONTROL_OPERATOR_ORDERS_HPP

#include <mulberryrudder/control/commands.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>

namespace mulberryrudder::control
{

/// Orders that are no release notes: set_draining and set_quarantine are asked for
/// as they stand in the log. Answered by order_answer, not_leading or outcome_unknown.

/// Tells what became of an order. Accepted means committed.
struct order_answer
{
    change_result result;
};

} // namespace mulberryrudder::control

#endif
