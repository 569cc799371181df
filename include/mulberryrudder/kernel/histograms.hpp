#ifndef MULBERRYRUDDER_KERNEL_HISTOGRAMS_HPP
#define MULBERRYRUDDER_KERNEL_HISTOGRAMS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/catalogue.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace mulberryrudder::kernel
{

/// Returns the name under which collectors know a counter or a histogram.
std::string metric_name(std::string_view name);

/// Defines a histogram of times. Define it as a static object in the plug-in that
/// observes it.
class histogram_kind : public named_kind<histogram_kind>
{
public:
    using named_kind::named_kind;
};

/// Holds one instance's histograms (prometheus-cpp).
///
/// Thread safety: any thread.
class histogram_set
{
public:
    /// Precondition: all plug-ins are linked, that is, main has started.
    histogram_set();
    ~histogram_set();

    /// Adds one time.
    void observe(histogram_kind const& kind, span took);

    /// Returns all histograms in the text form that common collectors read.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace mulberryrudder::kernel

#endif
