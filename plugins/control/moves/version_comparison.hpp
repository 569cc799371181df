#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_VERSION_COMPARISON_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_MOVES_VERSION_COMPARISON_HPP

#include <mulberryrudder/core/betting_test.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mulberryrudder::control
{

/// Totals of the outcomes of one version on one route over all entries.
struct version_totals
{
    requests answered; ///< Requests that got a reply.
    requests failed;
    microseconds latency_sum{};

    void add(messages::version_observation const& report);
    requests total() const { return answered + failed; }
    microseconds mean_latency() const;
};

/// Groups the replies of successive reports, so that a group's mean latency has little
/// enough variance to be compared.
class latency_groups
{
public:
    /// Adds a report. Returns the mean latency in microseconds if this completes a group.
    std::optional<double> add(messages::version_observation const& report);

private:
    requests answered_;
    microseconds sum_{};
};

/// Compares a new version with the old one on the same route, by the reports of all
/// entries. Two sequential tests compare the failure rate, and the fraction of reply
/// groups whose mean latency is far above the old version's.
///
/// Thread safety: one owner.
class version_comparison
{
public:
    /// `false_alarm_bound`: lower bound of the mean number of outcomes until a false alarm.
    explicit version_comparison(std::int64_t false_alarm_bound);

    void add_old_report(messages::version_observation const& report);

    /// Adds a report on the new version. `compare_latency` is false while caches warm up.
    void add_new_report(instance_id sender, messages::version_observation const& report,
                        bool compare_latency);

    /// Returns whether a test rejected the new version or an entry tripped it.
    bool is_worse() const { return has_tripped_ || failures_.rejected() || slowness_.rejected(); }

    /// Returns the figures of both versions, and cause() if the new one is worse; a sentence
    /// each.
    std::vector<std::string> evidence() const;

    /// Returns a sentence that says why is_worse() holds; empty if it does not.
    std::string cause() const;

private:
    version_totals old_;
    version_totals new_;
    reference_rate old_failures_;
    reference_rate old_slowness_;
    betting_test failures_;
    betting_test slowness_;
    latency_groups old_groups_;
    latency_groups new_groups_;
    double old_mean_us_ = 0;   ///< Running mean of the old version's group means.
    bool has_tripped_ = false; ///< An entry withdrew the new version on its own.
    instance_id tripped_by_;
};

} // namespace mulberryrudder::control

#endif
