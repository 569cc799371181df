#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_OBSERVED_LOAD_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_OBSERVED_LOAD_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// Load and health of a target as observed by this instance's own attempts.
///
/// The latency is a peak-sensitive exponentially weighted moving average after Finagle's
/// Peak EWMA balancer: a slower reply replaces the average at once, a faster one lowers it
/// gradually. The window of running requests halves when the target sheds a request and
/// grows by one for each window of replies, the additive increase and multiplicative decrease of
/// TCP (Chiu and Jain 1989).
///
/// Thread safety: one owner.
class observed_load
{
public:
    /// Records a complete reply.
    void record_reply(microseconds latency, instant now);

    /// Records that the target declined a request because it is overloaded; the target gets
    /// no requests for the time `pause`. `running` is this instance's number of running
    /// requests without the declined one.
    void record_shed(slots running, instant now, span pause);

    /// Records an attempt that failed otherwise; returns the number of consecutive failures.
    int record_failure();

    /// Returns the average latency; nothing before the first reply. It decays while there are
    /// no replies, so that a target that was slow gets requests again.
    std::optional<microseconds> latency(instant now) const;

    /// Returns the limit of this instance's running requests; `share` is its share of the slots.
    slots window(slots share, instant now) const;

private:
    std::optional<microseconds> latency_;
    instant measured_at_;
    std::optional<double> window_; ///< Limit of running requests; absent unless the target shed.
    instant paused_until_;
    int consecutive_failures_ = 0;
};

} // namespace mulberryrudder::entry

#endif
