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
    replies_.clear();
    confirmed_until_ = {};
}

void leader_lease::open_round(instant now)
{
    round_ = messages::round_id(round_.value() + 1);
    rounds_.push_back({.round = round_, .sent = now});
}

void leader_lease::record_reply(voter const& sender, messages::round_id round)
{
    auto& [disk, newest] = replies_[sender.id];
    if (disk != sender.disk)
        newest = {};
    disk = sender.disk;
    newest = std::max(newest, round);
}

messages::round_id leader_lease::newest_round_of(voter const& member, voter const& self) const
{
    if (member.id == self.id && member.disk == self.disk)
        return round_;
    auto const reply = replies_.find(member.id);
    bool const same_disk = reply != replies_.end() && reply->second.first == member.disk;
    return same_disk ? reply->second.second : messages::round_id();
}

void leader_lease::extend(group_membership const& members, voter const& self)
{
    std::vector<messages::round_id> newest;
    for (auto const& it : members.voters)
        newest.push_back(newest_round_of(it, self));
    if (newest.empty())
        return;
    std::sort(newest.begin(), newest.end(), std::greater<>());
    auto const confirmed = newest[majority(members) - 1];
    while (rounds_.size() > 1 && rounds_[1].round <= confirmed)
        rounds_.pop_front();
    if (!rounds_.empty() && rounds_.front().round <= confirmed)
        confirmed_until_ = std::max(confirmed_until_, rounds_.front().sent + duration_);
}

} // namespace mulberryrudder::control
