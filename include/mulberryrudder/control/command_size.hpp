#ifndef MULBERRYRUDDER_CONTROL_COMMAND_SIZE_HPP
#define MULBERRYRUDDER_CONTROL_COMMAND_SIZE_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/units.hpp>

#include <typeindex>

namespace mulberryrudder::control
{

/// Computes about how many bytes a message of one type takes in memory.
using command_sizer = byte_count (*)(any_message const&);

/// Enters the sizer of a type; throws std::logic_error if the type has one already.
void add_command_sizer(std::type_index type, command_sizer sizer);

/// Returns about how many bytes a command of the replicated log, or a component's part of a
/// snapshot, takes in memory. A type without a sizer counts as a small command.
///
/// Thread safety: any thread, after main started.
byte_count memory_size(any_message const& command);

/// Enters the sizer of type T, a function `byte_count(T const&)`:
///
///     command_size_registrar<replace_plan, &size_of_order> const order_entered;
template <class T, auto size>
class command_size_registrar
{
public:
    command_size_registrar() { add_command_sizer(typeid(T), &measure); }

private:
    static byte_count measure(any_message const& command) { return size(*command.get<T>()); }
};

} // namespace mulberryrudder::control

#endif
