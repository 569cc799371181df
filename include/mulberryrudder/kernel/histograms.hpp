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

/// Defines a histogram of times. Define it as a static object in the plug-in that
/// observes it.
class histogram_kind
{
public:
    /// `name` is lower case with dots, `meaning` a sentence for operators; both must be
    /// literals.
    histogram_kind(std::string_view name, std::string_view meaning);
    histogram_kind(histogram_kind const&) = delete;
    histogram_kind& operator=(histogram_kind const&) = delete;

    std::string_view name() const noexcept { return name_; }
    std::string_view meaning() const noexcept { return meaning_; }
    std::size_t position() const noexcept { return position_; }

private:
    std::string_view name_;
    std::string_view meaning_;
    std::size_t position_;
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
