#include "observed_load.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

/// Time in which the weight of an old latency falls to 1/e.
constexpr seconds latency_decay{5};

/// Time without replies in which a latency fades to 1/e.
constexpr seconds idle_decay{20};

/// Window at which a target that shed counts as recovered, in slots.
constexpr double full_window = 1000;

} // namespace

void observed_load::replied(microseconds latency, instant now)
{
    failures_in_a_row_ = 0;
    if (window_)
        *window_ += 1 / std::max(1.0, *window_);
    if (window_ && *window_ >= full_window)
        window_.reset();
    if (!latency_ || latency > *latency_)
    {
        latency_ = latency;
        measured_at_ = now;
        return;
    }
    std::chrono::duration<double> const since = now - measured_at_;
    std::chrono::duration<double> const decay = latency_decay;
    double const keep = std::exp(-(since / decay));
    double const mixed = static_cast<double>(latency_->count()) * keep +
                         static_cast<double>(latency.count()) * (1 - keep);
    latency_ = microseconds(static_cast<std::int64_t>(mixed));
    measured_at_ = now;
}

std::optional<microseconds> observed_load::latency(instant now) const
{
    if (!latency_)
        return std::nullopt;
    std::chrono::duration<double> const since = now - measured_at_;
    std::chrono::duration<double> const decay = idle_decay;
    double const faded = static_cast<double>(latency_->count()) * std::exp(-(since / decay));
    return microseconds(static_cast<std::int64_t>(faded));
}

void observed_load::shed(slots running, instant now, span pause)
{
    failures_in_a_row_ = 0;
    auto const was = static_cast<double>(std::max<std::int64_t>(running.count() + 1, 1));
    window_ = std::max(1.0, std::min(window_.value_or(was), was) / 2);
    paused_until_ = now + pause;
}

int observed_load::failed()
{
    return ++failures_in_a_row_;
}

slots observed_load::window(slots part, instant now) const
{
    if (now < paused_until_)
        return slots(0);
    if (!window_)
        return part;
    return std::min(part, slots(static_cast<std::int64_t>(*window_)));
}

} // namespace mulberryrudder::entry
