#ifndef MULBERRYRUDDER_KERNEL_EVENTS_HPP
#define MULBERRYRUDDER_KERNEL_EVENTS_HPP

#include <mulberryrudder/kernel/catalogue.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::kernel
{

/// How much an event matters to an operator.
enum class severity
{
    debug,
    info,
    warning,
    error
};

/// Returns the severity's name as it stands in logs.
std::string_view to_string(severity level);

/// Defines a numbered event. Define it as a static object in the plug-in that
/// records it; numbers are never reused.
class event_kind
{
public:
    /// What an event kind consists of; all texts must be literals.
    struct options
    {
        std::uint32_t number;  ///< Unique over all programs.
        std::string_view name; ///< Lower case with dots.
        severity level;
        std::string_view meaning; ///< A sentence for operators.
        std::string_view action;  ///< What the operator should do.
    };

    explicit event_kind(options what);
    event_kind(event_kind const&) = delete;
    event_kind& operator=(event_kind const&) = delete;

    options const& what() const noexcept { return what_; }

private:
    options what_;
};

/// One named value of an event. Never put a customer's key into it.
struct event_field
{
    std::string_view name; ///< A literal.
    std::string value;
};

/// One occurrence of an event.
struct event_record
{
    event_kind const* kind = nullptr;
    std::vector<event_field> fields;
};

/// Takes events. Each duty has a sink of its own.
///
/// Thread safety: one owner.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// Records an event; it does not block.
    virtual void record(event_kind const& kind, std::vector<event_field> fields) = 0;
};

/// Drops events, for tests that look elsewhere.
class null_event_sink final : public event_sink
{
public:
    void record(event_kind const&, std::vector<event_field>) override {}
};

} // namespace mulberryrudder::kernel

#endif
