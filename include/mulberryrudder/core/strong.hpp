#ifndef MULBERRYRUDDER_CORE_STRONG_HPP
#define MULBERRYRUDDER_CORE_STRONG_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace mulberryrudder
{

/// Names a thing. Ids of different tags neither compare nor convert, so that a
/// route cannot be passed where a customer is expected.
///
/// Thread safety: a value type; distinct objects may be used concurrently.
template <class Tag, class Rep>
class strong_id
{
public:
    using rep = Rep;

    strong_id() = default;
    explicit strong_id(Rep value) : value_(std::move(value)) {}

    /// Returns the bare value, for codecs and messages to people only.
    Rep const& value() const noexcept { return value_; }

    friend auto operator<=>(strong_id const&, strong_id const&) = default;
    friend bool operator==(strong_id const&, strong_id const&) = default;

private:
    Rep value_{};
};

/// Counts something in one unit. Quantities of one unit add, subtract and
/// compare; there is no conversion between units.
///
/// Thread safety: a value type; distinct objects may be used concurrently.
template <class Tag, class Rep>
class quantity
{
public:
    using rep = Rep;

    constexpr quantity() = default;
    constexpr explicit quantity(Rep count) : count_(count) {}

    /// Returns the bare count, for arithmetic across units and for codecs.
    constexpr Rep count() const noexcept { return count_; }

    constexpr quantity& operator+=(quantity other) noexcept
    {
        count_ += other.count_;
        return *this;
    }
    constexpr quantity& operator-=(quantity other) noexcept
    {
        count_ -= other.count_;
        return *this;
    }
    friend constexpr quantity operator+(quantity a, quantity b) noexcept { return a += b; }
    friend constexpr quantity operator-(quantity a, quantity b) noexcept { return a -= b; }
    friend constexpr auto operator<=>(quantity, quantity) = default;
    friend constexpr bool operator==(quantity, quantity) = default;

private:
    Rep count_{};
};

} // namespace mulberryrudder

template <class Tag, class Rep>
struct std::hash<mulberryrudder::strong_id<Tag, Rep>>
{
    std::size_t operator()(mulberryrudder::strong_id<Tag, Rep> const& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
