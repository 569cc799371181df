#include "membership.hpp"
#include "replica.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Rounds within which a replica must have answered to count as present.
constexpr std::uint64_t recent_rounds = 3;

} // namespace

bool replica::holds_full_state(progress const& it) const
{
    auto const recent = it.matched_in.value() + recent_rounds >= lease_.round().value();
    return it.match >= committed_ && it.match >= opened_at_ && recent;
}

std::optional<group_membership> replica::next_step() const
{
    for (auto const& it : members().pending)
    {
        auto const peer = peers_.find(it.joining);
        auto const* const joined = members().find(it.joining);
        if (peer != peers_.end() && holds_full_state(peer->second))
            return next_membership(members(), it, peer->second.disk);
        if (joined != nullptr && it.leaving != it.joining)
            return next_membership(members(), it, joined->disk);
    }
    for (auto const& it : members().voters)
    {
        auto const peer = peers_.find(it.id);
        if (peer != peers_.end() && peer->second.disk != it.disk && holds_full_state(peer->second))
            return next_membership(members(), {.leaving = it.id, .joining = it.id, .peer = it.peer},
                                   peer->second.disk);
    }
    return std::nullopt;
}

void replica::advance_membership()
{
    if (!may_act(now()) || members_.newest_index() > committed_)
        return;
    forget_removed();
    auto next = next_step();
    if (!next)
        return;
    append_membership(std::move(*next));
}

void replica::append_membership(group_membership next)
{
    check_invariant(members_.newest_index() <= committed_,
                    "a membership follows only a committed one");
    append_command(any_message::of(messages::membership_changed{.members = std::move(next)}));
    learn_addresses();
    send_to_idle();
}

void replica::take_list(operator_request_id id, list_members const&, context& with)
{
    members_listed out{.leader = leader_,
                       .term = state_.term,
                       .committed = committed_,
                       .pending = members().pending,
                       .settled =
                           members().pending.empty() && members_.newest_index() <= committed_};
    for (auto const& it : members().voters)
    {
        bool const self = it.id == self_.self.id && is_leader();
        out.members.push_back({.id = it.id,
                               .disk = it.disk,
                               .votes = true,
                               .reachable = self,
                               .synced = self ? queue_.durable() : log_index()});
    }
    for (auto const& [peer_id, peer] : peers_)
    {
        bool const votes = members().counts(peer_id, peer.disk);
        auto const same = [sought = peer_id](member_status const& it) { return it.id == sought; };
        auto at = std::find_if(out.members.begin(), out.members.end(), same);
        if (at == out.members.end())
            at = out.members.insert(at, member_status{.id = peer_id});
        at->disk = peer.disk;
        at->votes = votes;
        at->reachable = peer.matched_in.value() + recent_rounds >= lease_.round().value();
        at->synced = peer.match;
    }
    with.answer(id, std::move(out));
}

void replica::take_replace(operator_request_id id, replace_member const& it, context&)
{
    auto const refusal = refusal_of(it);
    bool const done =
        members().find(it.leaving) == nullptr && members().find(it.joining) != nullptr;
    if (refusal != replace_refusal::none || done)
        return answer_replaced(id, refusal);
    note_replacement({.leaving = it.leaving, .joining = it.joining, .peer = it.peer});
    if (members_.newest_index() <= committed_)
        return answer_replaced(id, refusal);
    replacing_[id] = members_.newest_index();
}

void replica::note_replacement(replacement const& wanted)
{
    auto next = members();
    // An addition that waits for an instance holds up nothing else.
    std::erase_if(next.pending,
                  [&](replacement const& each)
                  {
                      return each != wanted &&
                             (is_addition(each) ||
                              (each.leaving == wanted.leaving && each.joining != wanted.leaving));
                  });
    if (std::find(next.pending.begin(), next.pending.end(), wanted) == next.pending.end())
        next.pending.push_back(wanted);
    if (next != members())
        append_membership(std::move(next));
}

bool replica::is_addition(replacement const& it) const
{
    return it.leaving == it.joining && members().find(it.joining) == nullptr;
}

bool replica::begin_replacement(replacement const& wanted, instant now)
{
    auto const& pending = members().pending;
    bool const busy = members_.newest_index() > committed_ ||
                      !std::all_of(pending.begin(), pending.end(),
                                   [this](replacement const& it) { return is_addition(it); });
    if (with_ == nullptr || !is_leader() || !may_act(now) || busy)
        return false;
    note_replacement(wanted);
    return true;
}

replace_refusal replica::refusal_of(replace_member const& it) const
{
    if (!is_leader())
        return replace_refusal::not_leader;
    // One change of the membership at a time keeps the majorities overlapping.
    if (!may_act(now()) || members_.newest_index() > committed_)
        return replace_refusal::not_confirmed;
    auto const leaves = [&](replacement const& each) { return each.leaving == it.leaving; };
    auto const& pending = members().pending;
    bool const leaving_known = members().find(it.leaving) != nullptr ||
                               std::any_of(pending.begin(), pending.end(), leaves);
    bool const joined = members().find(it.joining) != nullptr;
    if (joined && !leaving_known)
        return replace_refusal::none;
    if (!leaving_known)
        return replace_refusal::unknown_member;
    return joined ? replace_refusal::already_member : replace_refusal::none;
}

void replica::answer_replaced(operator_request_id id, replace_refusal refusal)
{
    with_->answer(id, member_replaced{.refusal = refusal, .leader = leader_});
}

void replica::answer_committed()
{
    std::erase_if(replacing_,
                  [this](auto const& it)
                  {
                      if (it.second > applied_)
                          return false;
                      answer_replaced(it.first, replace_refusal::none);
                      return true;
                  });
}

void replica::answer_all_unconfirmed()
{
    for (auto const& [id, index] : replacing_)
        answer_replaced(id, replace_refusal::not_confirmed);
    replacing_.clear();
}

} // namespace mulberryrudder::control
