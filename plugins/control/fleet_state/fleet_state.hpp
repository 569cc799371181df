#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_FLEET_STATE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_FLEET_STATE_FLEET_STATE_HPP

#include "note_application.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/fleet_snapshot.hpp>

namespace mulberryrudder::control::internal
{

/// Holds the configuration, the running moves and the history of the notes, all of
/// it made by the committed commands alone.
///
/// Thread safety: the decision core's thread.
class fleet_state final : public component, public fleet_state_view
{
public:
    explicit fleet_state(component_parts const& parts);

    void applied(log_entry const& it, context& with) override;
    any_message save() const override;
    void load(std::vector<any_message> const& parts, context& with) override;

    std::shared_ptr<fleet_config const> config() const override { return state_.plan.config; }
    std::map<route_id, move_order> const& moves() const override { return state_.plan.moves; }
    std::deque<ended_move> const& ended_moves() const override { return state_.ended; }
    note_record const* find_note(note_number number) const override;
    std::map<note_number, note_record> const& notes() const override { return state_.notes; }
    change_result try_note(commit_note const& command, fleet_plan& after) const override;
    change_result const& last_change() const override { return last_; }
    std::optional<log_index> propose_change(step_move const& change) override;
    std::optional<log_index> propose_change(end_move const& change) override;

private:
    void apply_commit(log_index, commit_note const& command, context& with);
    void apply_step(log_index, step_move const& command, context& with);
    void apply_end(log_index, end_move const& command, context& with);
    void apply_draining(log_index, set_draining const& command, context& with);
    void apply_quarantine(log_index, set_quarantine const& command, context& with);

    /// Returns the result if the number or the base decides, else nothing.
    std::optional<change_result> decided_before(commit_note const& command) const;
    note_record const* newest_note() const;
    move_order const* find_move(move_key const& move) const;
    fleet_config next_config() const;
    template <class T>
    void apply_member(std::set<T> fleet_config::*all, T const& it, bool present);

    void put_in_force(fleet_plan after);
    void put_in_force(fleet_config config);
    void remember(note_record record);
    void remember(ended_move ended);
    void report(context& with) const;

    kernel::service_map& services_;
    fleet_snapshot state_;
    change_result last_;
};

} // namespace mulberryrudder::control::internal

#endif
