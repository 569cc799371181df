#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_RUNNING_MOVE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_RUNNING_MOVE_HPP

#include "move_lifecycle.hpp"
#include "moves_settings.hpp"
#include "version_comparison.hpp"

#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/core/time.hpp>

#include <variant>

namespace mulberryrudder::control
{

/// A command that a move needs.
using move_command = std::variant<step_move, end_move>;

/// What the replicated state says of a move now.
struct move_standing
{
    move_order const& order;
    per_mille share;  ///< Of the new version.
    instant deadline; ///< The order's, on this instance's clock.
};

/// Decides the steps of one move while this replica leads. All that a new leader
/// needs is in the replicated state; it judges anew from its own measurements.
///
/// Thread safety: one owner.
class running_move final : private move_actions
{
public:
    running_move(move_key key, move_standing const& from, moves_settings const& config,
                 instant now);

    running_move(running_move const&) = delete;
    running_move& operator=(running_move const&) = delete;

    /// Takes a report of an entry in.
    void observe(instance_id from, messages::version_observation const& it,
                 move_standing const& now_is, instant now);

    /// Returns the command that is due, or nothing.
    std::optional<move_command> decide(move_standing const& now_is, instant now);

    move_key const& key() const { return key_; }
    move_phase phase() const { return cycle_.phase(); }
    std::vector<std::string> evidence() const { return judge_.evidence(); }

    /// Returns whether the deadline passed before the share was at the cap.
    bool is_late() const { return late_; }

private:
    void step_up() override;
    void hold() override {}
    void go_on() override { watched_since_ = never; }
    void watch() override { watched_since_ = now_; }
    void finish() override {}
    void take_back() override {}

    void follow(move_standing const& now_is, instant now);
    void check_measurements();
    void check_steps(move_standing const& now_is);
    bool has_enough_outcomes(instant due) const;
    instant watch_end(move_standing const& now_is) const;
    std::optional<move_command> ending() const;

    move_key key_;
    moves_settings const& config_;
    version_comparison judge_;
    move_lifecycle cycle_{*this};
    instant now_;
    per_mille share_;
    per_mille cap_;
    instant stepped_; ///< When the share was last changed.
    instant seen_;    ///< When the new version was last reported on.
    instant watched_since_ = never;
    requests outcomes_; ///< Of the new version since the last step.
    std::optional<step_move> step_;
    bool late_ = false;
};

} // namespace mulberryrudder::control

#endif
