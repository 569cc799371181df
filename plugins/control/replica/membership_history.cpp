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
    all_.assign(1, {.index = index, .members = std::move(members)});
}

void membership_history::append(log_entry const& it)
{
    if (auto const* const changed = it.command.get<messages::membership_changed>())
        all_.push_back({.index = it.index, .members = changed->members});
}

void membership_history::cut_from(log_index first)
{
    while (all_.size() > 1 && all_.back().index >= first)
        all_.pop_back();
}

void membership_history::compact(log_index base)
{
    while (all_.size() > 1 && all_[1].index <= base)
        all_.erase(all_.begin());
}

group_membership const& membership_history::at(log_index index) const
{
    auto it = all_.rbegin();
    while (it->index > index && std::next(it) != all_.rend())
        ++it;
    return it->members;
}

} // namespace mulberryrudder::control
