#include "running_move.hpp"

#include "pacing.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

running_move::running_move(move_key key, move_standing const& from, moves_settings const& config,
                           instant now)
    : key_(std::move(key)), config_(config), judge_(config.false_alarm_outcomes), now_(now),
      share_(from.share), cap_(from.order.terms.cap), stepped_(now), seen_(now)
{
}

void running_move::observe(instance_id from, messages::version_observation const& it,
                           move_standing const& now_is, instant now)
{
    if (it.version == now_is.order.from)
        return judge_.add_old(it);
    if (it.version != now_is.order.terms.version)
        return;
    judge_.add_new(from, it, now >= stepped_ + config_.warm_up);
    auto const outcomes = it.answered + it.failed;
    if (outcomes == requests{})
        return;
    outcomes_ += outcomes;
    seen_ = now;
}

void running_move::follow(move_standing const& now_is, instant now)
{
    now_ = now;
    cap_ = now_is.order.terms.cap;
    step_.reset();
    if (now_is.share == share_)
        return;
    share_ = now_is.share;
    stepped_ = now;
    seen_ = now;
    outcomes_ = {};
}

std::optional<move_command> running_move::decide(move_standing const& now_is, instant now)
{
    follow(now_is, now);
    if (judge_.is_bad())
        cycle_.process(move_happening::fault_seen);
    // A note lowered the cap; going down needs no measurement.
    if (share_ > cap_ && phase() != move_phase::taking_back)
        return step_move{key_, cap_};
    check_measurements();
    check_steps(now_is);
    if (step_)
        return *step_;
    return ending();
}

void running_move::check_measurements()
{
    bool const missing = share_ > per_mille{} && now_ > seen_ + config_.stale_after;
    cycle_.process(missing ? move_happening::measurements_missing
                           : move_happening::measurements_back);
}

bool running_move::has_enough_outcomes(instant due) const
{
    if (share_ == per_mille{} || outcomes_ >= config_.least_outcomes)
        return true;
    // On a route with few requests, twice the time stands in for the count.
    return outcomes_ > requests{} && now_ >= due + (due - stepped_);
}

void running_move::check_steps(move_standing const& now_is)
{
    if (share_ == cap_)
        cycle_.process(move_happening::cap_reached);
    else
        cycle_.process(move_happening::cap_raised);
    bool const growing = phase() == move_phase::stepping || phase() == move_phase::held;
    late_ = late_ || (growing && now_ >= now_is.deadline);
    auto const due = step_due(share_, cap_, stepped_, now_is.deadline, config_);
    if (phase() == move_phase::stepping && now_ >= due && has_enough_outcomes(due))
        cycle_.process(move_happening::step_due);
    bool const fresh = now_ <= seen_ + config_.stale_after;
    if (phase() == move_phase::watching && fresh && now_ >= watch_end(now_is))
        cycle_.process(move_happening::watch_over);
}

instant running_move::watch_end(move_standing const& now_is) const
{
    auto const end = watched_since_ + config_.watch;
    // Below the whole, the rest of the route follows when the move ends, so it has
    // to end before the deadline.
    if (cap_ == whole_share)
        return end;
    auto const left = now_is.deadline - watched_since_;
    auto const latest = now_is.deadline - left / 10;
    return std::max(std::min(end, latest), watched_since_ + span(config_.least_dwell));
}

void running_move::step_up()
{
    step_ = step_move{key_, next_share(share_, cap_, config_)};
}

std::optional<move_command> running_move::ending() const
{
    if (phase() == move_phase::taking_back)
        return end_move{key_, move_outcome::taken_back, judge_.cause()};
    if (phase() != move_phase::finishing)
        return std::nullopt;
    auto const sentences = judge_.evidence();
    return end_move{key_, move_outcome::done, sentences.front() + " " + sentences.back()};
}

} // namespace mulberryrudder::control
