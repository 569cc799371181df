#ifndef MULBERRYRUDDER_CORE_ANY_MESSAGE_HPP
#define MULBERRYRUDDER_CORE_ANY_MESSAGE_HPP

#include <mulberryrudder/core/ids.hpp>

#include <memory>
#include <typeindex>
#include <utility>

namespace mulberryrudder
{

/// Holds one immutable message of any struct type, so that plug-ins can add
/// message types without a central list. Copies share the message.
///
/// Thread safety: the message is immutable; holders may be copied between threads.
class any_message
{
public:
    any_message() = default;

    /// Takes the message over.
    template <class T>
    static any_message of(T value)
    {
        any_message it;
        it.type_ = typeid(T);
        it.value_ = std::make_shared<T const>(std::move(value));
        return it;
    }

    std::type_index type() const noexcept { return type_; }

    /// Returns the message if it is a T, else null. The holder keeps it alive.
    template <class T>
    T const* get() const noexcept
    {
        return type_ == typeid(T) ? static_cast<T const*>(value_.get()) : nullptr;
    }

private:
    std::type_index type_ = typeid(void);
    std::shared_ptr<void const> value_;
};

/// A message on its way between two instances. Delivery is at most once and
/// may be late or out of order; receivers must cope.
struct envelope
{
    instance_id from;
    instance_id to;
    any_message body;
};

} // namespace mulberryrudder

#endif
