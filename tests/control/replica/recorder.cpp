#include "recorder.hpp"

#include <mulberryrudder/core/invariant.hpp>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr int after_replica = component_order::replica + 1;
component_registrar<recorder> const entered{"recorder", after_replica};

constexpr std::uint64_t mixing_factor = 0x9e3779b97f4a7c15;

} // namespace

void recorder::applied(log_entry const& it, context&)
{
    check_invariant(it.index.value() == state.last.value() + 1, "entries are applied in order");
    auto const* const command = it.command.get<test_command>();
    auto const value = command == nullptr ? 0 : command->value;
    state.last = it.index;
    state.digest = (state.digest ^ value ^ it.term.value()) * mixing_factor + 1;
    if (command != nullptr)
        state.values.push_back(value);
    digests[it.index] = state.digest;
}

void recorder::load(std::vector<any_message> const& parts, context&)
{
    for (auto const& it : parts)
        if (auto const* const saved = it.get<recorder_state>())
            state = *saved;
    digests[state.last] = state.digest;
}

} // namespace mulberryrudder::control::testing
