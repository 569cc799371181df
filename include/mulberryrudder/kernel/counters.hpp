#ifndef MULBERRYRUDDER_KERNEL_COUNTERS_HPP
#define MULBERRYRUDDER_KERNEL_COUNTERS_HPP

#include <mulberryrudder/kernel/catalogue.hpp>
#include <mulberryrudder/kernel/histograms.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryrudder::kernel
{

/// Defines a counter. Define it as a static object in the plug-in that counts.
class counter_kind : public named_kind<counter_kind>
{
public:
    using named_kind::named_kind;
};

/// Holds one instance's value of every defined counter.
///
/// Thread safety: add() and value() from any thread.
class counter_set
{
public:
    /// Precondition: all plug-ins are linked, that is, main has started.
    counter_set();

    void add(counter_kind const& kind, std::uint64_t n = 1) noexcept
    {
        values_[kind.position()].fetch_add(n, std::memory_order_relaxed);
    }
    /// Replaces the value, for counters that show a level.
    void set(counter_kind const& kind, std::uint64_t n) noexcept
    {
        values_[kind.position()].store(n, std::memory_order_relaxed);
    }
    std::uint64_t value(counter_kind const& kind) const noexcept
    {
        return values_[kind.position()].load(std::memory_order_relaxed);
    }

    /// Adds one time to a histogram.
    void observe(histogram_kind const& kind, span took) { histograms_.observe(kind, took); }
    histogram_set const& histograms() const noexcept { return histograms_; }

    /// Returns name and value of each counter, sorted by name.
    std::vector<std::pair<std::string_view, std::uint64_t>> snapshot() const;

private:
    std::unique_ptr<std::atomic<std::uint64_t>[]> values_;
    histogram_set histograms_;
};

/// Content type of counters_text().
inline constexpr std::string_view counters_text_type = "text/plain; version=0.0.4";

/// Returns counters and histograms in the text form that common collectors read. Any
/// thread.
std::string counters_text(counter_set const& counters);

} // namespace mulberryrudder::kernel

#endif
