#ifndef MULBERRYRUDDER_CONTROL_OPERATOR_STATE_HPP
#define MULBERRYRUDDER_CONTROL_OPERATOR_STATE_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

namespace mulberryrudder::control
{

/// Asks how this control instance stands; answered by status_report.
struct status_query
{
};

/// How a control instance stands.
struct status_report
{
    instance_id instance;
    bool may_act = false; ///< It leads and a majority confirmed it.
    std::optional<instance_id> leader;
    term_id term;
    log_index applied;
    generation_id generation;
    std::optional<note_record> last_note; ///< Of the highest number.
    std::size_t customers = 0;
    std::size_t routes = 0;
    std::size_t moves = 0;
    std::size_t quarantined = 0;
    std::size_t draining = 0;
};

/// Asks for the configuration; answered by config_report.
struct config_query
{
};

/// The configuration as this replica knows it.
struct config_report
{
    bool may_act = false; ///< Whether it is certain that there is no newer one.
    fleet_plan plan;
};

} // namespace mulberryrudder::control

#endif
