#include "running_move.hpp"

#include "pacing.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

running_move::running_move(move_key key, move_state const& state, moves_settings const& config,
                           instant now)
    : key_(std::move(key)), config_(config), comparison_(config.false_alarm_outcomes), now_(now),
      share_(state.share), cap_(state.order.terms.cap), last_step_(now), last_observed_(now)
{
}

void running_move::observe(instance_id sender, messages::version_observation const& report,
                           move_state const& state, instant now)
{
    if (report.version == state.order.from)
        return comparison_.add_old_report(report);
    if (report.version != state.order.terms.version)
        return;
    comparison_.add_new_report(sender, report, now >= last_step_ + config_.warm_up);
    auto const outcomes = report.answered + report.failed;
    if (outcomes == requests{})
        return;
    outcomes_since_step_ += outcomes;
    last_observed_ = now;
}

void running_move::update(move_state const& state, instant now)
{
    now_ = now;
    cap_ = state.order.terms.cap;
    step_command_.reset();
    if (state.share == share_)
        return;
    share_ = state.share;
    last_step_ = now;
    last_observed_ = now;
    outcomes_since_step_ = {};
}

std::optional<move_command> running_move::decide(move_state const& state, instant now)
{
    update(state, now);
    if (comparison_.is_worse())
        lifecycle_.process(move_trigger::fault_detected);
    update_hold();
    update_steps(state);
    if (step_command_)
        return *step_command_;
    return end_command();
}

void running_move::update_hold()
{
    bool const missing = share_ > per_mille{} && now_ > last_observed_ + config_.stale_after;
    lifecycle_.process(missing ? move_trigger::measurements_missing
                               : move_trigger::measurements_current);
}

bool running_move::has_enough_outcomes(instant due) const
{
    if (share_ == per_mille{} || outcomes_since_step_ >= config_.min_outcomes)
        return true;
    // On a route with few requests, one outcome is enough after twice the dwell.
    return outcomes_since_step_ > requests{} && now_ >= due + (due - last_step_);
}

void running_move::update_steps(move_state const& state)
{
    if (share_ == cap_)
        lifecycle_.process(move_trigger::cap_reached);
    else
        lifecycle_.process(move_trigger::below_cap);
    bool const is_below_cap = phase() == move_phase::stepping || phase() == move_phase::held;
    is_late_ = is_late_ || (is_below_cap && now_ >= state.deadline);
    auto const due = step_due(share_, cap_, last_step_, state.deadline, config_);
    if (phase() == move_phase::stepping && now_ >= due && has_enough_outcomes(due))
        lifecycle_.process(move_trigger::step_due);
    bool const fresh = now_ <= last_observed_ + config_.stale_after;
    if (phase() == move_phase::watching && fresh && now_ >= watch_end(state))
        lifecycle_.process(move_trigger::watch_over);
}

instant running_move::watch_end(move_state const& state) const
{
    auto const watch_deadline = watch_started_ + config_.watch_time;
    // With a cap below the whole route, the end of the move shifts the rest of the route to
    // the new version. So that this happens before the deadline, the watch ends at the latest
    // when a tenth of the time from its start to the deadline is left, but lasts at least the
    // minimum dwell.
    if (cap_ == whole_share)
        return watch_deadline;
    auto const remaining = state.deadline - watch_started_;
    auto const latest_end = state.deadline - remaining / 10;
    return std::max(std::min(watch_deadline, latest_end), watch_started_ + span(config_.min_dwell));
}

void running_move::step_up()
{
    step_command_ = step_move{key_, next_share(share_, cap_, config_)};
}

std::optional<move_command> running_move::end_command() const
{
    if (phase() == move_phase::taking_back)
        return end_move{key_, move_outcome::taken_back, comparison_.cause()};
    if (phase() != move_phase::finishing)
        return std::nullopt;
    auto const figures = comparison_.evidence();
    return end_move{key_, move_outcome::done, figures.front() + " " + figures.back()};
}

} // namespace mulberryrudder::control
