#ifndef MULBERRYRUDDER_CONTROL_OPERATOR_MOVES_HPP
#define MULBERRYRUDDER_CONTROL_OPERATOR_MOVES_HPP

#include <mulberryrudder/control/commands.hpp>

#include <string>
#include <vector>

namespace mulberryrudder::control
{

/// Asks why a route's move stands as it does; answered by move_report.
struct move_query
{
    route_id route;
};

/// One thing that a move did.
struct move_event
{
    utc_time at;
    std::string what; ///< Such as `step` or `held`.
    per_mille share;  ///< Of the new version, afterwards.
    std::string evidence;
};

/// Explains a move. The state is a name such as `stepping`, `held`, `done`,
/// `taken back`; empty if the route has and had no move.
struct move_report
{
    route_id route;
    std::string state;
    version_id from;
    version_id to;
    per_mille share;
    per_mille cap;
    utc_time deadline;
    std::vector<move_event> steps;     ///< The oldest first.
    std::vector<std::string> evidence; ///< Measurements behind the present state, a sentence each.
};

} // namespace mulberryrudder::control

#endif
