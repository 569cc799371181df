#include <mulberryrudder/control/command_size.hpp>

#include <map>
#include <stdexcept>
#include <string>

namespace mulberryrudder::control
{

namespace
{

/// Size of a command without a sizer: some ids and numbers.
constexpr byte_count small_command{256};

std::map<std::type_index, command_sizer>& sizers()
{
    static std::map<std::type_index, command_sizer> it;
    return it;
}

} // namespace

void add_command_sizer(std::type_index type, command_sizer sizer)
{
    if (!sizers().emplace(type, sizer).second)
        throw std::logic_error(std::string("the command type ") + type.name() +
                               " has a sizer already");
}

byte_count memory_size(any_message const& command)
{
    auto const it = sizers().find(command.type());
    return it == sizers().end() ? small_command : it->second(command);
}

} // namespace mulberryrudder::control
