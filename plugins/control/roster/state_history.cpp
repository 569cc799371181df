#include "state_history.hpp"

#include <mulberryrudder/fleet/steering_difference.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Number of states that are kept: more than an entry can miss while it is connected.
constexpr std::size_t max_states = 32;

} // namespace

void state_history::add(shared_steering const& state)
{
    if (!states_.empty() && states_.back()->generation == state->generation)
        return;
    states_.push_back(state);
    if (states_.size() > max_states)
        states_.pop_front();
    differences_.clear();
}

messages::steering_difference const* state_history::difference_from(generation_id base)
{
    if (auto const known = differences_.find(base); known != differences_.end())
        return &known->second;
    auto const same = [base](shared_steering const& it) { return it->generation == base; };
    auto const older = std::find_if(states_.begin(), states_.end(), same);
    if (older == states_.end() || *older == states_.back() || !(*older)->plan)
        return nullptr;
    auto const added = differences_.emplace(base, fleet::difference(**older, *states_.back()));
    return &added.first->second;
}

} // namespace mulberryrudder::control
