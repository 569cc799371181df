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

/// Steps, holds, finishes and takes back the moves that the notes order. Each
/// step is a command of the replicated log; only the leader proposes one.
///
/// Thread safety: the decision core's thread.
class moves final : public component
{
public:
    explicit moves(component_parts const& parts);

    void received(envelope const& it, context& with) override;
    bool asked(operator_asked const& it, context& with) override;
    void applied(log_entry const& it, context& with) override;
    void leading(context& with) override;
    void following(context& with) override;
    void tick(context& with) override;

    void renewed(instance_id from, messages::renew_request const& it, context& with);
    void explain(operator_request_id asker, move_query const& it, context& with);
    void stepped(log_index at, step_move const& it, context& with);
    void ended(log_index at, end_move const& it, context& with);

private:
    /// A command that was proposed and is not applied yet.
    struct proposal
    {
        move_command what;
        instant wait_until;
    };

    fleet_state_view& state() const { return services_.require<fleet_state_view>(); }
    bool leads(context const& with) const;
    microseconds time_of_day(context const& with) const;
    move_standing standing_of(route_id const& route, move_order const& order,
                              context const& with) const;
    running_move& follow(route_id const& route, move_order const& order, context const& with);
    void propose(move_command const& command, context& with);
    void tell_phase(running_move const& it, move_phase before, bool was_late, context& with) const;
    void remember(route_id const& route, std::string what, std::string evidence, context& with);
    bool tell_running(route_id const& route, move_report& out) const;
    void tell_ended(route_id const& route, move_report& out) const;

    kernel::service_map& services_;
    moves_settings const& config_;
    std::map<route_id, std::unique_ptr<running_move>> running_;
    std::map<move_key, proposal> proposed_;
    std::map<route_id, std::deque<move_event>> history_; ///< Since this process started.
};

} // namespace mulberryrudder::control

#endif
