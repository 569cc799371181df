#include "version_comparison.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// A group counts as slow beyond this multiple of the old version's mean.
constexpr double slow_factor = 1.6;
/// Weight of the newest group in the running mean of the old version.
constexpr double mean_weight = 0.05;
/// Replies in a group, at least.
constexpr requests group_size{30};
/// Groups of the old version needed before latency is judged.
constexpr std::uint64_t least_reference = 5;

std::string percent(version_totals const& it)
{
    if (it.all() == requests{})
        return "none";
    auto const n = 10'000 * it.failed.count() / it.all().count();
    return std::to_string(n / 100) + "." + std::to_string(n / 10 % 10) + std::to_string(n % 10) +
           "%";
}

std::string described(std::string const& name, version_totals const& it)
{
    return name + ": " + std::to_string(it.all().count()) + " outcomes, " + percent(it) +
           " failed, mean latency " + std::to_string(it.mean().count()) + " us.";
}

std::uint64_t count_of(requests n)
{
    return static_cast<std::uint64_t>(n.count());
}

} // namespace

void version_totals::add(messages::version_observation const& it)
{
    answered += it.answered;
    failed += it.failed;
    latency_sum += it.latency_sum;
}

microseconds version_totals::mean() const
{
    return answered == requests{} ? microseconds{} : latency_sum / answered.count();
}

version_comparison::version_comparison(std::int64_t bound)
    : failures_(static_cast<double>(bound)), slowness_(static_cast<double>(bound))
{
}

std::optional<double> latency_groups::add(messages::version_observation const& it)
{
    answered_ += it.answered;
    sum_ += it.latency_sum;
    if (answered_ < group_size)
        return std::nullopt;
    auto const mean = static_cast<double>(sum_.count()) / static_cast<double>(answered_.count());
    *this = {};
    return mean;
}

void version_comparison::add_old(messages::version_observation const& it)
{
    old_.add(it);
    old_failures_.add(count_of(it.failed), count_of(it.answered + it.failed));
    auto const mean = old_groups_.add(it);
    if (!mean)
        return;
    old_mean_us_ += old_mean_us_ == 0 ? *mean : mean_weight * (*mean - old_mean_us_);
    old_slowness_.add(*mean > slow_factor * old_mean_us_ ? 1 : 0, 1);
}

void version_comparison::add_new(instance_id from, messages::version_observation const& it,
                                 bool judge_latency)
{
    new_.add(it);
    if (it.tripped && !tripped_)
    {
        tripped_ = true;
        tripped_by_ = from;
    }
    failures_.add(count_of(it.failed), count_of(it.answered + it.failed),
                  old_failures_.tolerated());
    if (!judge_latency)
        return;
    auto const mean = new_groups_.add(it);
    if (mean && old_slowness_.observed() >= least_reference)
        slowness_.add(*mean > slow_factor * old_mean_us_, old_slowness_.tolerated());
}

std::vector<std::string> version_comparison::evidence() const
{
    std::vector<std::string> out{described("Old version", old_), described("New version", new_)};
    if (is_bad())
        out.push_back(cause());
    return out;
}

std::string version_comparison::cause() const
{
    auto const figures =
        " " + described("Old version", old_) + " " + described("New version", new_);
    if (failures_.rejected())
        return "The new version failed more often than the old one." + figures;
    if (slowness_.rejected())
        return "The new version was slower than the old one." + figures;
    if (tripped_)
        return "Instance " + std::to_string(tripped_by_.value()) +
               " withdrew the new version by itself." + figures;
    return {};
}

} // namespace mulberryrudder::control
