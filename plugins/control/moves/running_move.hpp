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

/// A command that advances or ends a move.
using move_command = std::variant<step_move, end_move>;

/// The replicated state of a move.
struct move_state
{
    move_order const& order;
    per_mille share;  ///< Share of the route's requests for the new version.
    instant deadline; ///< The order's deadline on this instance's monotonic clock.
};

/// Decides the steps of one move while this replica leads. The order and the share are
/// replicated, the measurements are not: a new leader continues from the committed share
/// and starts a new comparison with the reports that it receives.
///
/// Thread safety: one owner.
class running_move final : private move_actions
{
public:
    running_move(move_key key, move_state const& state, moves_settings const& config, instant now);

    running_move(running_move const&) = delete;
    running_move& operator=(running_move const&) = delete;

    /// Adds an entry's report to the comparison. Reports on other versions are ignored.
    void observe(instance_id sender, messages::version_observation const& report,
                 move_state const& state, instant now);

    /// Updates the phase. Returns the command that is due, or nothing; the same command is
    /// returned again until `state` shows its effect.
    std::optional<move_command> decide(move_state const& state, instant now);

    move_key const& key() const { return key_; }
    move_phase phase() const { return lifecycle_.phase(); }
    std::vector<std::string> evidence() const { return comparison_.evidence(); }

    /// Returns whether the deadline has passed while the share was below the cap.
    bool is_late() const { return is_late_; }

private:
    void step_up() override;
    void hold() override {}
    void resume() override { watch_started_ = never; }
    void watch() override { watch_started_ = now_; }
    void finish() override {}
    void roll_back() override {}

    void update(move_state const& state, instant now);
    void update_hold();
    void update_steps(move_state const& state);
    bool has_enough_outcomes(instant due) const;
    instant watch_end(move_state const& state) const;
    std::optional<move_command> end_command() const;

    move_key key_;
    moves_settings const& config_;
    version_comparison comparison_;
    move_lifecycle lifecycle_{*this};
    instant now_;
    per_mille share_;
    per_mille cap_;
    instant last_step_;     ///< When this object saw the share change, or was made.
    instant last_observed_; ///< When an outcome of the new version was last reported.
    instant watch_started_ = never;
    requests outcomes_since_step_; ///< Outcomes of the new version.
    std::optional<step_move> step_command_;
    bool is_late_ = false;
};

} // namespace mulberryrudder::control

#endif
