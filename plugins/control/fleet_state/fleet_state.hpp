#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_FLEET_STATE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_FLEET_STATE_HPP

#include "note_application.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/fleet_snapshot.hpp>

namespace mulberryrudder::control::internal
{

/// Holds the configuration, the running moves and the history of the release notes. The
/// state depends on the committed commands alone, so that it is the same on all replicas.
///
/// Thread safety: the decision core's thread.
class fleet_state final : public component, public fleet_state_view
{
public:
    explicit fleet_state(component_parts const& parts);

    void applied(log_entry const& entry, context& ctx) override;
    any_message save() const override;
    void load(std::vector<any_message> const& parts, context& ctx) override;

    std::shared_ptr<fleet_config const> config() const override { return state_.plan.config; }
    std::map<route_id, move_order> const& moves() const override { return state_.plan.moves; }
    std::deque<ended_move> const& ended_moves() const override { return state_.ended; }
    note_record const* find_note(note_number number) const override;
    std::map<note_number, note_record> const& notes() const override { return state_.notes; }
    change_result try_note(commit_note const& command, fleet_plan& after) const override;
    change_result const& last_change() const override { return last_change_; }
    std::optional<log_index> propose_change(step_move const& change) override;
    std::optional<log_index> propose_change(end_move const& change) override;

private:
    void apply_commit(log_index, commit_note const& command, context& ctx);
    void apply_step(log_index, step_move const& command, context& ctx);
    void apply_end(log_index, end_move const& command, context& ctx);
    void apply_draining(log_index, set_draining const& command, context& ctx);
    void apply_quarantine(log_index, set_quarantine const& command, context& ctx);

    /// Returns the result if the number or the base of the note determines it: the note is
    /// committed already, or in conflict. Returns nothing if the note has to be applied.
    std::optional<change_result> result_without_applying(commit_note const& command) const;
    /// Returns whether the generation was reached and no note was accepted after it.
    bool is_newest_base(generation_id base) const;
    /// Returns the note that was accepted last; null if there is none.
    note_record const* newest_note() const;
    /// Returns the running move with this key; null if there is none.
    move_order const* find_move(move_key const& move) const;
    /// Returns a copy of the configuration with the next generation.
    fleet_config next_config() const;
    /// Adds the id to a set of the configuration, or removes it, in a new generation.
    template <class T>
    void set_membership(std::set<T> fleet_config::*members, T const& id, bool is_member);

    /// Makes this the state.
    /// Precondition: its generation is the next one.
    void activate(fleet_plan after);
    /// As above with the running moves unchanged; records the command as accepted.
    void activate(fleet_config config);
    /// Adds to the history; the oldest record above the maximum is removed.
    void store(note_record record);
    void store(ended_move ended);
    /// Counts and records the result of the last command.
    void report(context& ctx) const;

    kernel::service_map& services_;
    fleet_snapshot state_;
    change_result last_change_; ///< The result of the last command.
};

} // namespace mulberryrudder::control::internal

#endif
