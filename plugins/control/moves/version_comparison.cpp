#include "version_comparison.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// A group is slow if its mean latency is above this multiple of the old version's mean.
constexpr double slow_group_factor = 1.6;
/// Weight of the newest group in the running mean latency of the old version.
constexpr double newest_group_weight = 0.05;
/// Minimum number of replies in a group.
constexpr requests min_group_replies{30};
/// Minimum number of the old version's groups before latency is compared.
constexpr std::uint64_t min_reference_groups = 5;

std::string failure_percentage(version_totals const& totals)
{
    if (totals.total() == requests{})
        return "none";
    auto const hundredths = 10'000 * totals.failed.count() / totals.total().count();
    return std::to_string(hundredths / 100) + "." + std::to_string(hundredths / 10 % 10) +
           std::to_string(hundredths % 10) + "%";
}

std::string describe(std::string const& name, version_totals const& totals)
{
    return name + ": " + std::to_string(totals.total().count()) + " outcomes, " +
           failure_percentage(totals) + " failed, mean latency " +
           std::to_string(totals.mean_latency().count()) + " us.";
}

std::uint64_t count_of(requests n)
{
    return static_cast<std::uint64_t>(n.count());
}

} // namespace

void version_totals::add(messages::version_observation const& report)
{
    answered += report.answered;
    failed += report.failed;
    latency_sum += report.latency_sum;
}

microseconds version_totals::mean_latency() const
{
    return answered == requests{} ? microseconds{} : latency_sum / answered.count();
}

version_comparison::version_comparison(std::int64_t false_alarm_bound)
    : failures_(static_cast<double>(false_alarm_bound)),
      slowness_(static_cast<double>(false_alarm_bound))
{
}

std::optional<double> latency_groups::add(messages::version_observation const& report)
{
    answered_ += report.answered;
    sum_ += report.latency_sum;
    if (answered_ < min_group_replies)
        return std::nullopt;
    auto const mean = static_cast<double>(sum_.count()) / static_cast<double>(answered_.count());
    *this = {};
    return mean;
}

void version_comparison::add_old_report(messages::version_observation const& report)
{
    old_.add(report);
    old_failures_.add(count_of(report.failed), count_of(report.answered + report.failed));
    auto const mean = old_groups_.add(report);
    if (!mean)
        return;
    old_mean_us_ += old_mean_us_ == 0 ? *mean : newest_group_weight * (*mean - old_mean_us_);
    old_slowness_.add(*mean > slow_group_factor * old_mean_us_ ? 1 : 0, 1);
}

void version_comparison::add_new_report(instance_id sender,
                                        messages::version_observation const& report,
                                        bool compare_latency)
{
    new_.add(report);
    if (report.tripped && !has_tripped_)
    {
        has_tripped_ = true;
        tripped_by_ = sender;
    }
    failures_.add(count_of(report.failed), count_of(report.answered + report.failed),
                  old_failures_.tolerated());
    if (!compare_latency)
        return;
    auto const mean = new_groups_.add(report);
    if (mean && old_slowness_.observed() >= min_reference_groups)
        slowness_.add(*mean > slow_group_factor * old_mean_us_, old_slowness_.tolerated());
}

std::vector<std::string> version_comparison::evidence() const
{
    std::vector<std::string> out{describe("Old version", old_), describe("New version", new_)};
    if (is_worse())
        out.push_back(cause());
    return out;
}

std::string version_comparison::cause() const
{
    auto const figures = " " + describe("Old version", old_) + " " + describe("New version", new_);
    if (failures_.rejected())
        return "The new version failed more often than the old one." + figures;
    if (slowness_.rejected())
        return "The new version was slower than the old one." + figures;
    if (has_tripped_)
        return "Instance " + std::to_string(tripped_by_.value()) +
               " withdrew the new version by itself." + figures;
    return {};
}

} // namespace mulberryrudder::control
