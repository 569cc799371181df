#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_OBSERVED_LOAD_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_OBSERVED_LOAD_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// What this instance has seen of a target by its own attempts.
///
/// The latency is a peak-sensitive exponentially weighted average after Finagle's
/// Peak EWMA balancer: a slower reply counts at once, a faster one bit by bit. The
/// window of running requests halves when the target sheds and grows by one for each
/// window of replies, the additive increase and multiplicative decrease of TCP
/// (Chiu and Jain 1989).
///
/// Thread safety: one owner.
class observed_load
{
public:
    /// Takes note of a whole reply.
    void replied(microseconds latency, instant now);

    /// Takes note that the target declined a request for want of room.
    void shed(slots running, instant now, span pause);

    /// Takes note of an attempt that failed otherwise; returns the failures in a row.
    int failed();

    /// Returns the average; it fades while there are no replies, so that a target that
    /// was slow once is tried again.
    std::optional<microseconds> latency(instant now) const;

    /// Returns how many requests this instance should run at most; `part` is its share.
    slots window(slots part, instant now) const;

private:
    std::optional<microseconds> latency_;
    instant measured_at_;
    std::optional<double> window_; ///< Absent while the target has not shed.
    instant paused_until_;
    int failures_in_a_row_ = 0;
};

} // namespace mulberryrudder::entry

#endif
