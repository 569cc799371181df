#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_NOTE_APPLICATION_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_NOTE_APPLICATION_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>

#include <vector>

namespace mulberryrudder::control::internal
{

/// The result of applying a note to a plan.
struct applied_note
{
    fleet_plan after;              ///< Meaningful only if `failed` is empty.
    std::vector<ended_move> ended; ///< Moves that the note withdraws.
    failures failed;               ///< All errors, each with its place in the note.
};

/// Applies a note to a plan as a whole; the generation grows by one. The result depends on
/// the arguments alone, so that every replica computes the same one. Checks the note and the
/// resulting plan, and reports all errors, not just the first.
applied_note apply_note(fleet_plan const& before, release_note const& note);

} // namespace mulberryrudder::control::internal

#endif
