#include "version_judge.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// A reply counts as slow beyond this multiple of the old version's mean.
constexpr double slow_factor = 2.0;
/// Weight of the newest latency in the running mean.
constexpr double mean_weight = 0.02;
/// Old replies needed before latency is judged.
constexpr std::uint64_t least_reference = 20;

} // namespace

version_judge::version_judge(options with)
    : warm_up_(with.warm_up), failures_(static_cast<double>(with.false_alarm_outcomes)),
      slowness_(static_cast<double>(with.false_alarm_outcomes))
{
}

bool version_judge::is_slow(version_outcome const& it) const
{
    return static_cast<double>(it.took.count()) > slow_factor * old_mean_us_;
}

void version_judge::add_old(version_outcome const& it)
{
    old_failures_.add(it.failed ? 1 : 0, 1);
    if (it.failed)
        return;
    auto const took = static_cast<double>(it.took.count());
    old_mean_us_ += old_mean_us_ == 0 ? took : mean_weight * (took - old_mean_us_);
    old_slowness_.add(is_slow(it) ? 1 : 0, 1);
}

void version_judge::add_new(version_outcome const& it)
{
    failures_.add(it.failed, old_failures_.tolerated());
    if (warm_up_ > requests{})
    {
        warm_up_ -= requests(1);
        return;
    }
    if (old_slowness_.observed() >= least_reference)
        slowness_.add(is_slow(it), old_slowness_.tolerated());
}

double version_judge::evidence() const
{
    return std::max(failures_.evidence(), slowness_.evidence());
}

} // namespace mulberryrudder::entry
