#include "route_versions.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

void version_tally::add(version_outcome const& it)
{
    if (it.failed)
    {
        failed += requests(1);
        return;
    }
    answered += requests(1);
    latency_sum += it.took;
    latency_worst = std::max(latency_worst, it.took);
}

route_versions::route_versions(version_judge::options judging, route_config const& from)
    : old_(from.version), next_(from.next), judge_(judging)
{
    shares_.set_share(from.next_share);
}

bool route_versions::observe(version_id const& version, version_outcome const& it)
{
    if (version != old_ && version != next_)
        return false;
    seen_[version].add(it);
    bool const before = is_tripped();
    if (version == next_)
        judge_.add_new(it);
    else
        judge_.add_old(it);
    return is_tripped() && !before;
}

void route_versions::report(route_id const& route, std::vector<messages::version_observation>& out)
{
    // A trip is reported in each renewal: one of them may be lost.
    if (is_tripped())
        seen_.try_emplace(next_);
    for (auto const& [version, it] : seen_)
        out.push_back({.route = route,
                       .version = version,
                       .answered = it.answered,
                       .failed = it.failed,
                       .latency_sum = it.latency_sum,
                       .latency_worst = it.latency_worst,
                       .tripped = version == next_ && is_tripped()});
    seen_.clear();
}

} // namespace mulberryrudder::entry
