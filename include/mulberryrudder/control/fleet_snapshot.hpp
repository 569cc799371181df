#ifndef MULBERRYRUDDER_CONTROL_FLEET_SNAPSHOT_HPP
#define MULBERRYRUDDER_CONTROL_FLEET_SNAPSHOT_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

namespace mulberryrudder::control
{

/// The replicated state of the fleet, as a part of a snapshot.
struct fleet_snapshot
{
    fleet_plan plan;
    std::map<note_number, note_record> notes;
    note_number forgotten; ///< Highest number that is no longer remembered.
    std::deque<ended_move> ended;
};

} // namespace mulberryrudder::control

#endif
