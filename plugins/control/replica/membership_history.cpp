#include "membership_history.hpp"

#include <mulberryrudder/messages/replica.hpp>

namespace mulberryrudder::control
{

std::size_t majority(group_membership const& members)
{
    return members.voters.size() / 2 + 1;
}

void membership_history::reset(log_index index, group_membership members)
{
    history_.assign(1, {.index = index, .members = std::move(members)});
}

void membership_history::append(log_entry const& entry)
{
    if (auto const* const changed = entry.command.get<messages::membership_changed>())
        history_.push_back({.index = entry.index, .members = changed->members});
}

void membership_history::truncate_from(log_index first)
{
    while (history_.size() > 1 && history_.back().index >= first)
        history_.pop_back();
}

void membership_history::compact(log_index base)
{
    while (history_.size() > 1 && history_[1].index <= base)
        history_.erase(history_.begin());
}

group_membership const& membership_history::at(log_index index) const
{
    auto it = history_.rbegin();
    while (it->index > index && std::next(it) != history_.rend())
        ++it;
    return it->members;
}

} // namespace mulberryrudder::control
