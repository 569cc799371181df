#include "state_history.hpp"

#include <mulberryrudder/core/plan_size.hpp>
#include <mulberryrudder/fleet/steering_difference.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Number of states that are kept: more than an entry can miss while it is connected.
constexpr std::size_t max_states = 32;
/// Bytes of plans beyond which older states are dropped, but for the one before the newest.
constexpr byte_count max_bytes{8 << 20};
constexpr std::size_t min_states = 2;

} // namespace

void state_history::add(shared_steering const& state)
{
    bool const is_first = states_.empty();
    if (!is_first && states_.back().state->generation == state->generation)
        return;
    bool const has_new_plan =
        state->plan && (is_first || states_.back().state->plan != state->plan);
    auto const bytes = has_new_plan ? memory_size(*state->plan) : byte_count();
    states_.push_back({.state = state, .bytes = bytes});
    bytes_ += bytes;
    while (states_.size() > max_states || (states_.size() > min_states && bytes_ > max_bytes))
        drop_oldest();
    differences_.clear();
}

void state_history::drop_oldest()
{
    auto const dropped = states_.front();
    states_.pop_front();
    if (states_.front().state->plan == dropped.state->plan)
        states_.front().bytes = dropped.bytes;
    else
        bytes_ -= dropped.bytes;
}

messages::steering_difference const* state_history::difference_from(generation_id base)
{
    if (auto const known = differences_.find(base); known != differences_.end())
        return &known->second;
    auto const same = [base](kept_state const& it) { return it.state->generation == base; };
    auto const found = std::find_if(states_.begin(), states_.end(), same);
    if (found == states_.end())
        return nullptr;
    auto const& older = *found->state;
    auto const& newest = *states_.back().state;
    if (older.generation == newest.generation || !older.plan)
        return nullptr;
    auto const added = differences_.emplace(base, fleet::difference(older, newest));
    return &added.first->second;
}

} // namespace mulberryrudder::control
