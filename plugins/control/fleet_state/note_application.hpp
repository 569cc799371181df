#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_NOTE_APPLICATION_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_NOTE_APPLICATION_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

#include <vector>

namespace mulberryrudder::control::internal
{

/// What a note makes of a plan.
struct applied_note
{
    fleet_plan after;              ///< Meaningful only if nothing failed.
    std::vector<ended_move> ended; ///< Moves that the note withdrew.
    failures failed;               ///< All that is wrong, each with its place in the note.
};

/// Applies a note to a plan as a whole; the generation grows by one. It depends on
/// its arguments only, so that every replica comes to the same result.
applied_note apply_note(fleet_plan const& before, release_note const& note);

} // namespace mulberryrudder::control::internal

#endif
