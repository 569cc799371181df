#include "observed_load.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

/// Time constant of the moving average: the weight of an old latency falls to 1/e.
constexpr seconds latency_decay{5};

/// Time without replies in which the average latency decays to 1/e.
constexpr seconds idle_decay{20};

/// Window, in slots, from which on a target that shed counts as recovered.
constexpr double recovered_window = 1000;

} // namespace

void observed_load::record_reply(microseconds latency, instant now)
{
    consecutive_failures_ = 0;
    if (window_)
        *window_ += 1 / std::max(1.0, *window_);
    if (window_ && *window_ >= recovered_window)
        window_.reset();
    if (!latency_ || latency > *latency_)
    {
        latency_ = latency;
        measured_at_ = now;
        return;
    }
    std::chrono::duration<double> const elapsed = now - measured_at_;
    std::chrono::duration<double> const decay = latency_decay;
    double const old_weight = std::exp(-(elapsed / decay));
    double const average = static_cast<double>(latency_->count()) * old_weight +
                           static_cast<double>(latency.count()) * (1 - old_weight);
    latency_ = microseconds(static_cast<std::int64_t>(average));
    measured_at_ = now;
}

std::optional<microseconds> observed_load::latency(instant now) const
{
    if (!latency_)
        return std::nullopt;
    std::chrono::duration<double> const elapsed = now - measured_at_;
    std::chrono::duration<double> const decay = idle_decay;
    double const decayed = static_cast<double>(latency_->count()) * std::exp(-(elapsed / decay));
    return microseconds(static_cast<std::int64_t>(decayed));
}

void observed_load::record_shed(slots running, instant now, span pause)
{
    consecutive_failures_ = 0;
    auto const running_at_shed =
        static_cast<double>(std::max<std::int64_t>(running.count() + 1, 1));
    window_ = std::max(1.0, std::min(window_.value_or(running_at_shed), running_at_shed) / 2);
    paused_until_ = now + pause;
}

int observed_load::record_failure()
{
    return ++consecutive_failures_;
}

slots observed_load::window(slots share, instant now) const
{
    if (now < paused_until_)
        return slots(0);
    if (!window_)
        return share;
    return std::min(share, slots(static_cast<std::int64_t>(*window_)));
}

} // namespace mulberryrudder::entry
