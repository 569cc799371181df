#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVES_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_MOVES_HPP

#include "running_move.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/operator_moves.hpp>

#include <deque>
#include <map>
#include <memory>

namespace mulberryrudder::control
{

/// Steps, holds, finishes and rolls back the moves that release notes order. Each step
/// and each end is a command in the replicated log; only the leader proposes them.
///
/// Thread safety: the decision core's thread.
class moves final : public component
{
public:
    explicit moves(component_parts const& parts);

    void received(envelope const& message, context& ctx) override;
    bool asked(operator_asked const& request, context& ctx) override;
    void applied(log_entry const& entry, context& ctx) override;
    void leading(context& ctx) override;
    void following(context& ctx) override;
    void tick(context& ctx) override;

    // Handlers of messages, operators' requests and committed commands.
    void renew_received(instance_id sender, messages::renew_request const& request, context& ctx);
    void explain(operator_request_id id, move_query const& query, context& ctx);
    void step_applied(log_index index, step_move const& step, context& ctx);
    void end_applied(log_index index, end_move const& end, context& ctx);

private:
    /// A command that was proposed and is not yet applied.
    struct proposal
    {
        move_command command;
        instant retry_at; ///< When it is proposed again if it is not applied by then.
    };

    fleet_state_view& state() const { return services_.require<fleet_state_view>(); }
    bool may_act(context const& ctx) const;
    /// Returns the time since 1970; without a wall clock, that of the monotonic clock.
    microseconds wall_time(context const& ctx) const;
    /// Returns the replicated state of a move.
    /// Precondition: the route exists.
    move_state state_of(route_id const& route, move_order const& order, context const& ctx) const;
    /// Returns the running move of this order. A new order on the route replaces the old
    /// object.
    running_move& find_or_create(route_id const& route, move_order const& order,
                                 context const& ctx);
    /// Proposes a command, unless the same one was proposed less than the timeout ago.
    void propose(move_command const& command, context& ctx);
    void report_phase_change(running_move const& move, move_phase previous_phase, bool was_late,
                             context& ctx) const;
    void record_step(route_id const& route, std::string action, std::string evidence, context& ctx);
    /// Fills in the report; returns false if no move runs on the route.
    bool describe_running(route_id const& route, move_report& out) const;
    /// Fills in the report from the last move that ended on the route, if there is one.
    void describe_ended(route_id const& route, move_report& out) const;

    kernel::service_map& services_;
    moves_settings const& config_;
    std::map<route_id, std::unique_ptr<running_move>> running_;
    std::map<move_key, proposal> proposed_;
    /// The newest steps and ends that this process applied; not part of the snapshot.
    std::map<route_id, std::deque<move_event>> history_;
};

} // namespace mulberryrudder::control

#endif
