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

/// Sums the outcomes of one version on one route over all entries.
struct version_totals
{
    requests answered;
    requests failed;
    microseconds latency_sum{};

    void add(messages::version_observation const& it);
    requests all() const { return answered + failed; }
    microseconds mean() const;
};

/// Pools the replies of successive reports into groups whose mean latency is
/// steady enough to be compared.
class latency_groups
{
public:
    /// Adds a report; returns the mean in microseconds of a group that is complete.
    std::optional<double> add(messages::version_observation const& it);

private:
    requests answered_;
    microseconds sum_{};
};

/// Compares a new version with the old one on the same route, by the reports of
/// all entries: the rate of failures, and the part of the groups of replies whose
/// mean latency is much above the old version's.
///
/// Thread safety: one owner.
class version_comparison
{
public:
    /// `bound`: mean number of outcomes up to a false alarm, at least.
    explicit version_comparison(std::int64_t bound);

    void add_old(messages::version_observation const& it);

    /// Takes a report on the new version in; `judge_latency` is false while caches warm up.
    void add_new(instance_id from, messages::version_observation const& it, bool judge_latency);

    bool is_bad() const { return tripped_ || failures_.rejected() || slowness_.rejected(); }

    /// Returns sentences with the figures behind the present judgement.
    std::vector<std::string> evidence() const;

    /// Returns the sentence that stands behind is_bad().
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
    double old_mean_us_ = 0;
    bool tripped_ = false;
    instance_id tripped_by_;
};

} // namespace mulberryrudder::control

#endif
