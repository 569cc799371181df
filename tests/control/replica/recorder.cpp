#include "recorder.hpp"

#include <mulberryrudder/core/invariant.hpp>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr int recorder_order = component_order::replica + 1;
component_registrar<recorder> const registered{"recorder", recorder_order};

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
        state.values.push_back(value);
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
