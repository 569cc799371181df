#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROLLOUTS_ROLLOUT_COMPARISON_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROLLOUTS_ROLLOUT_COMPARISON_HPP

#include <mulberryrudder/core/units.hpp>

#include <cstdint>

namespace mulberryrudder::control
{

/// Outcomes of one version since its rollout began.
struct outcome_counts
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< Failures reported by the target.
    std::uint64_t broken = 0; ///< Connections that ended without a complete reply.
    std::uint64_t late = 0;   ///< Without a reply within the request's time.

    std::uint64_t bad() const { return failed + broken; }

    /// Returns `count` in thousandths of the answers, or 0 without answers.
    std::int64_t per_mille_of(std::uint64_t count) const;
};

/// By how much a new version may be worse than the old one. An excess is the part of the
/// requests served well by the old version that the new one does not serve well: a fault of
/// the targets that affects both versions does not contribute to it.
struct comparison_limits
{
    per_mille max_failed_excess{30};
    per_mille max_broken_excess{400};
    per_mille max_late_excess{300};
    std::int64_t min_bad_factor = 4;
    requests min_bad{6};
    requests min_answers{40};
};

/// Result of the comparison of a new version with the old one.
enum class rollout_comparison
{
    not_worse,
    suspected, ///< Worse, but chance could explain it.
    worse
};

/// Compares the outcomes of a new version with those of the old one in the same time. The
/// old version's failures count as those of the environment, which the new one suffers too.
///
/// Thread safety: none of its own; reads its arguments only.
rollout_comparison compare_versions(outcome_counts const& new_counts,
                                    outcome_counts const& old_counts,
                                    comparison_limits const& limits);

class outcome_history;

/// Returns whether the new version is clearly worse at the times at which the old one serves.
/// Failures of the old version count as those of the environment only near their own time, and
/// so hide no failures of the new one at other times. While both fail, compare_versions() shows
/// an excess.
///
/// Thread safety: none of its own; reads its arguments only.
bool is_worse_while_old_serves(outcome_history const& history, comparison_limits const& limits);

/// Returns whether the new version gave enough answers to be compared with the old one: the
/// minimum, or a tenth of the old one's answers where requests are rare.
bool has_evidence(outcome_counts const& new_counts, outcome_counts const& old_counts,
                  comparison_limits const& limits);

} // namespace mulberryrudder::control

#endif
