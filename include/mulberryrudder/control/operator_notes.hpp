#ifndef MULBERRYRUDDER_CONTROL_OPERATOR_NOTES_HPP
#define MULBERRYRUDDER_CONTROL_OPERATOR_NOTES_HPP

#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control/release_note.hpp>

#include <string>
#include <vector>

namespace mulberryrudder::control
{

/// Asks for a note to be put in force; answered by note_answer, not_leading or
/// outcome_unknown.
struct note_submission
{
    release_note note;
    utc_time received; ///< Wall-clock time at the front end.
};

/// Tells what became of a note. Accepted means committed.
struct note_answer
{
    note_number number;
    change_result result;
};

/// Asks what a note would do now; answered by note_preview.
struct note_check
{
    release_note note;
    utc_time received;
};

/// One difference between two configurations.
struct config_difference
{
    std::string place; ///< Such as `customers/relay/rate`.
    std::string before;
    std::string after; ///< Empty where something ends.

    friend bool operator==(config_difference const&, config_difference const&) = default;
};

/// Tells what a note would do.
struct note_preview
{
    note_number number;
    change_result result; ///< Accepted here means: it would be.
    std::vector<config_difference> differences;
};

/// Asks for an accepted note; answered by note_found.
struct note_query
{
    note_number number;
};

/// Tells of an accepted note, if this replica knows it.
struct note_found
{
    note_number number;
    std::optional<note_record> record;
};

} // namespace mulberryrudder::control

#endif
