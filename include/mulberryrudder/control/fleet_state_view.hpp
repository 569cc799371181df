#ifndef MULBERRYRUDDER_CONTROL_FLEET_STATE_VIEW_HPP
#define MULBERRYRUDDER_CONTROL_FLEET_STATE_VIEW_HPP

#include <mulberryrudder/control/commands.hpp>
#include <mulberryrudder/control/log_types.hpp>
#include <mulberryrudder/core/error.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberryrudder::control
{

/// A move that is running, as the notes ordered it.
struct move_order
{
    move_terms terms;
    note_number note;    ///< The note that ordered the move; with the route it names the move.
    version_id from;     ///< The version that the move leads away from.
    generation_id since; ///< Generation in which the move was ordered or last changed by a note.

    friend bool operator==(move_order const&, move_order const&) = default;
};

/// A move that ended.
struct ended_move
{
    move_key move;
    move_order order;
    move_outcome outcome = move_outcome::done;
    std::string evidence;
    generation_id ended; ///< The first generation without the move.

    friend bool operator==(ended_move const&, ended_move const&) = default;
};

/// An accepted release note.
struct note_record
{
    note_number number;
    digest content;
    generation_id generation; ///< The generation that the note made.
    std::string comment;

    friend bool operator==(note_record const&, note_record const&) = default;
};

/// The fleet's configuration with its moves: what a note is applied to.
struct fleet_plan
{
    std::shared_ptr<fleet_config const> config = std::make_shared<fleet_config const>();
    std::map<route_id, move_order> moves;
};

/// What became of a command.
enum class change_outcome : std::uint8_t
{
    accepted,  ///< It is in force as `generation`.
    unchanged, ///< It asked for what is already so.
    refused,   ///< It does not fit the state.
    conflict   ///< Its number is taken or its base is not the newest.
};

/// The result of one command, the same on every replica.
struct change_result
{
    log_index index;
    change_outcome outcome = change_outcome::refused;
    generation_id generation; ///< The note's own if accepted, else the newest.
    failures failed;
    std::optional<note_record> winner; ///< The note that holds the number, on a conflict.
};

/// Shows the replicated state of the fleet and takes changes of it.
///
/// Thread safety: the decision core's thread.
class fleet_state_view
{
public:
    virtual ~fleet_state_view() = default;

    /// Returns the newest committed configuration; never null.
    virtual std::shared_ptr<fleet_config const> config() const = 0;

    /// Returns the moves that are running.
    virtual std::map<route_id, move_order> const& moves() const = 0;

    /// Returns the moves that ended last, the newest last.
    virtual std::deque<ended_move> const& ended_moves() const = 0;

    /// Returns the accepted note of a number, or null if it has none or is forgotten.
    virtual note_record const* find_note(note_number number) const = 0;

    /// Returns the accepted notes that are remembered, by number.
    virtual std::map<note_number, note_record> const& notes() const = 0;

    /// Returns what a command would lead to now, without applying it; on success
    /// `after` is the state it would make.
    virtual change_result try_note(commit_note const& command, fleet_plan& after) const = 0;

    /// Returns the result of the last applied command of this state. In a component
    /// of higher order it is that of the entry which applied() tells of, if the
    /// indices are equal.
    virtual change_result const& last_change() const = 0;

    /// Proposes a step or the end of a move. Returns the entry's index; nothing if
    /// this replica may not act. The change is in force once it is applied.
    virtual std::optional<log_index> propose_change(step_move const& change) = 0;
    virtual std::optional<log_index> propose_change(end_move const& change) = 0;
};

} // namespace mulberryrudder::control

#endif
