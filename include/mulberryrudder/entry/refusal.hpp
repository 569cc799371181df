#ifndef MULBERRYRUDDER_ENTRY_REFUSAL_HPP
#define MULBERRYRUDDER_ENTRY_REFUSAL_HPP

#include <mulberryrudder/kernel/counters.hpp>

#include <cstdint>
#include <string_view>

namespace mulberryrudder::entry
{

/// Defines a reason for which requests are refused, with a counter of its own.
/// Define it as a static object in the plug-in that refuses.
class refusal_kind
{
public:
    /// All texts must be literals.
    struct options
    {
        std::string_view name;         ///< For answers, such as `rate_exceeded`.
        std::string_view counter_name; ///< `refused.` and the name.
        std::uint16_t status;          ///< HTTP status for front ends that speak HTTP.
        std::string_view meaning;      ///< A sentence for callers and operators.
    };

    explicit refusal_kind(options what) : what_(what), counter_(what.counter_name, what.meaning) {}

    options const& what() const noexcept { return what_; }
    kernel::counter_kind const& counter() const noexcept { return counter_; }

private:
    options what_;
    kernel::counter_kind counter_;
};

} // namespace mulberryrudder::entry

#endif
