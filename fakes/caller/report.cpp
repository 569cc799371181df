#include "report.hpp"

#include <algorithm>

namespace mulberryrudder::fakes
{

namespace
{

boost::json::object counts(std::map<std::string, std::uint64_t> const& from)
{
    boost::json::object out;
    for (auto const& [name, n] : from)
        out[name] = n;
    return out;
}

} // namespace

microseconds percentile(std::vector<microseconds> latencies, std::size_t per_mille)
{
    if (latencies.empty())
        return microseconds(0);
    auto const n = std::min(latencies.size() * per_mille / 1000, latencies.size() - 1);
    auto const at = latencies.begin() + static_cast<std::ptrdiff_t>(n);
    std::nth_element(latencies.begin(), at, latencies.end());
    return *at;
}

boost::json::object to_json(customer_report const& it)
{
    return {{"sent", it.sent},
            {"answered", it.answered},
            {"failed", it.failed},
            {"wrong", it.wrong},
            {"cut", it.cut},
            {"unreached", it.unreached},
            {"refused", counts(it.refused)},
            {"versions", counts(it.versions)},
            {"p50_us", percentile(it.latencies, 500).count()},
            {"p99_us", percentile(it.latencies, 990).count()}};
}

} // namespace mulberryrudder::fakes
