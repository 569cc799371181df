#ifndef MULBERRYRUDDER_CONTROL_COMMANDS_HPP
#define MULBERRYRUDDER_CONTROL_COMMANDS_HPP

#include <mulberryrudder/control/release_note.hpp>

#include <cstdint>
#include <string>

namespace mulberryrudder::control
{

/// Commands of the replicated log that change the fleet's state. Each is checked
/// again when it is applied, since the state may have changed after its proposal.

/// Applies a release note, if its number is free and it fits the state.
struct commit_note
{
    release_note note;
    digest content; ///< content_digest(note).

    friend bool operator==(commit_note const&, commit_note const&) = default;
};

/// Names one move: the route and the note that ordered it.
struct move_key
{
    route_id route;
    note_number note;

    friend auto operator<=>(move_key const&, move_key const&) = default;
};

/// Gives a move's new version another share. It is refused if the move ended or
/// the share is above the move's cap.
struct step_move
{
    move_key move;
    per_mille share;

    friend bool operator==(step_move const&, step_move const&) = default;
};

/// How a move ended.
enum class move_outcome : std::uint8_t
{
    done,
    taken_back,
    withdrawn
};

/// Ends a move: when done the route's version becomes the new one, else the old
/// one keeps the route. It is refused if the move ended before.
struct end_move
{
    move_key move;
    move_outcome outcome = move_outcome::done;
    std::string evidence; ///< One sentence on why.

    friend bool operator==(end_move const&, end_move const&) = default;
};

/// Marks an entry instance as being taken out, or not.
struct set_draining
{
    instance_id instance;
    bool draining = false;

    friend bool operator==(set_draining const&, set_draining const&) = default;
};

/// Refuses requests with a fingerprint fleet-wide, or allows them again.
struct set_quarantine
{
    digest fingerprint;
    bool quarantined = false;

    friend bool operator==(set_quarantine const&, set_quarantine const&) = default;
};

} // namespace mulberryrudder::control

#endif
