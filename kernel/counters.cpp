#include <mulberryrudder/kernel/counters.hpp>

#include <algorithm>

namespace mulberryrudder::kernel
{

counter_set::counter_set()
    : values_(std::make_unique<std::atomic<std::uint64_t>[]>(
          catalogue<counter_kind>::instance().kinds().size()))
{
}

std::vector<std::pair<std::string_view, std::uint64_t>> counter_set::snapshot() const
{
    std::vector<std::pair<std::string_view, std::uint64_t>> out;
    for (auto const* const it : catalogue<counter_kind>::instance().kinds())
        out.emplace_back(it->name(), value(*it));
    std::sort(out.begin(), out.end());
    return out;
}

std::string counters_text(counter_set const& counters)
{
    std::string out;
    for (auto const& [name, value] : counters.snapshot())
        out += metric_name(name) + " " + std::to_string(value) + "\n";
    return out + counters.histograms().text();
}

} // namespace mulberryrudder::kernel
