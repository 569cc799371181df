#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_VERSIONS_VERSION_JUDGE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_VERSIONS_VERSION_JUDGE_HPP

#include <mulberryrudder/core/betting_test.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

namespace mulberryrudder::entry
{

/// How one sending of a request to a version ended.
struct version_outcome
{
    bool failed = false;
    span took{};
};

/// Judges a new version against the old one on the same route, outcome by
/// outcome: by failures, and by the part of the replies that take more than
/// twice the old version's mean.
///
/// Thread safety: one owner.
class version_judge
{
public:
    struct options
    {
        std::int64_t false_alarm_outcomes; ///< Mean outcomes up to a false alarm, at least.
        requests warm_up; ///< First outcomes whose latency is not judged: caches are cold.
    };

    explicit version_judge(options with);

    void add_old(version_outcome const& it);
    void add_new(version_outcome const& it);

    /// Returns whether the new version was found worse; it stays so.
    bool is_bad() const { return failures_.rejected() || slowness_.rejected(); }
    bool failed_too_often() const { return failures_.rejected(); }
    double evidence() const;

private:
    bool is_slow(version_outcome const& it) const;

    requests warm_up_;
    reference_rate old_failures_;
    reference_rate old_slowness_;
    betting_test failures_;
    betting_test slowness_;
    double old_mean_us_ = 0;
};

} // namespace mulberryrudder::entry

#endif
