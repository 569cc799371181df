#include "leader_lease.hpp"

#include "membership_history.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace mulberryrudder::control
{

void leader_lease::reset()
{
    round_ = {};
    rounds_.clear();
    answers_.clear();
    confirmed_until_ = {};
}

void leader_lease::open_round(instant now)
{
    round_ = messages::round_id(round_.value() + 1);
    rounds_.push_back({.round = round_, .sent = now});
}

void leader_lease::answered(voter const& by, messages::round_id round)
{
    auto& [disk, newest] = answers_[by.id];
    if (disk != by.disk)
        newest = {};
    disk = by.disk;
    newest = std::max(newest, round);
}

messages::round_id leader_lease::answered_by(voter const& it, voter const& self) const
{
    if (it.id == self.id && it.disk == self.disk)
        return round_;
    auto const found = answers_.find(it.id);
    bool const counts = found != answers_.end() && found->second.first == it.disk;
    return counts ? found->second.second : messages::round_id();
}

void leader_lease::count(group_membership const& members, voter const& self)
{
    std::vector<messages::round_id> newest;
    for (auto const& it : members.voters)
        newest.push_back(answered_by(it, self));
    if (newest.empty())
        return;
    std::sort(newest.begin(), newest.end(), std::greater<>());
    auto const confirmed = newest[majority(members) - 1];
    while (rounds_.size() > 1 && rounds_[1].round <= confirmed)
        rounds_.pop_front();
    if (!rounds_.empty() && rounds_.front().round <= confirmed)
        confirmed_until_ = std::max(confirmed_until_, rounds_.front().sent + counted_);
}

} // namespace mulberryrudder::control
