#include "recorder.hpp"

#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr int recorder_order = component_order::replica + 1;
component_registrar<recorder> const registered{"recorder", recorder_order};
component_registrar<padding> const padding_registered{"padding", recorder_order + 1};

template <class T>
byte_count stated_size(T const& it)
{
    return it.size;
}

command_size_registrar<test_command, &stated_size<test_command>> const command_entered;
command_size_registrar<recorder_state, &stated_size<recorder_state>> const state_entered;
command_size_registrar<padding_state, &stated_size<padding_state>> const padding_entered;

constexpr std::uint64_t mixing_factor = 0x9e3779b97f4a7c15;

} // namespace

void recorder::applied(log_entry const& entry, context&)
{
    check_invariant(entry.index.value() == state.last.value() + 1, "entries are applied in order");
    auto const* const command = entry.command.get<test_command>();
    auto const value = command == nullptr ? 0 : command->value;
    state.last = entry.index;
    state.digest = (state.digest ^ value ^ entry.term.value()) * mixing_factor + 1;
    if (command != nullptr)
    {
        state.values.push_back(value);
        state.size = std::max(state.size, command->size);
    }
    digests[entry.index] = state.digest;
}

void recorder::load(std::vector<any_message> const& parts, context&)
{
    for (auto const& it : parts)
        if (auto const* const saved = it.get<recorder_state>())
            state = *saved;
    digests[state.last] = state.digest;
}

} // namespace mulberryrudder::control::testing
