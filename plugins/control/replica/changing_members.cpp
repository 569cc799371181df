#include "membership.hpp"
#include "replica.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Rounds within which a replica must have been heard to count as reachable.
constexpr std::uint64_t recent_rounds = 3;

} // namespace

bool replica::is_within(messages::round_id round, std::uint64_t count) const
{
    return round != messages::round_id() && round.value() + count >= lease_.round().value();
}

bool replica::is_reachable(progress const& peer) const
{
    return is_within(peer.heard_round, recent_rounds) && now() < peer.syncs_until;
}

bool replica::answers(instance_id id) const
{
    auto const peer = peers_.find(id);
    return id == self_.self.id ||
           (peer != peers_.end() && is_within(peer->second.heard_round, recent_rounds) &&
            now() < peer->second.answers_until);
}

bool replica::is_caught_up(progress const& peer) const
{
    return peer.match_index >= commit_index_ && peer.match_index >= term_start_ &&
           is_reachable(peer);
}

bool replica::is_heard(voter const& it) const
{
    auto const peer = peers_.find(it.id);
    return (it.id == self_.self.id && it.disk == state_.disk) ||
           (peer != peers_.end() && peer->second.disk == it.disk &&
            is_within(peer->second.heard_round, recent_rounds));
}

bool replica::is_working(voter const& it) const
{
    auto const peer = peers_.find(it.id);
    return (it.id == self_.self.id && it.disk == state_.disk) ||
           (peer != peers_.end() && peer->second.disk == it.disk && is_reachable(peer->second));
}

bool replica::has_working_majority(group_membership const& candidate) const
{
    auto const working = std::count_if(candidate.voters.begin(), candidate.voters.end(),
                                       [this](voter const& it) { return is_working(it); });
    return static_cast<std::size_t>(working) >= majority(candidate);
}

std::optional<group_membership> replica::next_membership_step() const
{
    for (auto& step : membership_steps())
        if (has_working_majority(step))
            return std::move(step);
    return std::nullopt;
}

std::vector<group_membership> replica::membership_steps() const
{
    std::vector<group_membership> out;
    auto const add = [&out](std::optional<group_membership> step)
    {
        if (step)
            out.push_back(std::move(*step));
    };
    for (auto const& it : members().pending)
    {
        auto const peer = peers_.find(it.joining);
        auto const* const joined = members().find(it.joining);
        auto const* const leaving = members().find(it.leaving);
        bool const leaving_works =
            it.leaving != it.joining && leaving != nullptr && is_working(*leaving);
        if (peer != peers_.end() && is_caught_up(peer->second))
            add(next_membership(members(), it, peer->second.disk, leaving_works));
        else if (joined != nullptr && it.leaving != it.joining)
            add(next_membership(members(), it, joined->disk, leaving_works));
    }
    for (auto const& it : members().voters)
    {
        auto const peer = peers_.find(it.id);
        if (peer != peers_.end() && peer->second.disk != it.disk && is_caught_up(peer->second))
            add(next_membership(members(), {.leaving = it.id, .joining = it.id, .peer = it.peer},
                                peer->second.disk, false));
    }
    return out;
}

void replica::advance_membership_change()
{
    if (!may_act(now()) || !is_membership_committed())
        return;
    remove_departed_peers();
    auto next = next_membership_step();
    if (!next)
        return;
    append_membership(std::move(*next));
}

void replica::append_membership(group_membership next)
{
    check_invariant(is_membership_committed(), "the previous membership is committed");
    append_command(any_message::of(messages::membership_changed{.members = std::move(next)}));
    report_peer_addresses();
    track_joining_peers();
    send_to_idle_peers();
}

void replica::track_joining_peers()
{
    for (auto const& change : members().pending)
    {
        // The newest disk of an instance stands last.
        auto const found =
            std::find_if(state_.starts.rbegin(), state_.starts.rend(),
                         [&](start_record const& it) { return it.instance == change.joining; });
        if (found != state_.starts.rend() && !peers_.contains(change.joining))
            track_peer(change.joining, found->disk);
    }
}

void replica::handle_list_members(operator_request_id id, list_members const&, context& ctx)
{
    members_listed out{.leader = leader_,
                       .term = state_.term,
                       .committed = commit_index_,
                       .pending = members().pending,
                       .settled = members().pending.empty() && is_membership_committed()};
    for (auto const& it : members().voters)
    {
        bool const self = it.id == self_.self.id && is_leader();
        out.members.push_back({.id = it.id,
                               .disk = it.disk,
                               .votes = true,
                               .reachable = self,
                               .synced = self ? sync_queue_.durable() : log_index()});
    }
    for (auto const& [peer_id, peer] : peers_)
    {
        bool const votes = members().counts(peer_id, peer.disk);
        auto const same = [sought_id = peer_id](member_status const& it)
        { return it.id == sought_id; };
        auto entry = std::find_if(out.members.begin(), out.members.end(), same);
        if (entry == out.members.end())
            entry = out.members.insert(entry, member_status{.id = peer_id});
        entry->disk = peer.disk;
        entry->votes = votes;
        entry->reachable = is_reachable(peer);
        entry->synced = peer.match_index;
    }
    ctx.answer(id, std::move(out));
}

void replica::handle_replace_member(operator_request_id id, replace_member const& req, context&)
{
    auto const refusal = replacement_refusal(req);
    bool const complete =
        members().find(req.leaving) == nullptr && members().find(req.joining) != nullptr;
    if (refusal != replace_refusal::none || complete)
        return answer_replace_request(id, refusal);
    add_pending_replacement({.leaving = req.leaving, .joining = req.joining, .peer = req.peer}, {});
    if (is_membership_committed())
        return answer_replace_request(id, refusal);
    replace_requests_[id] = memberships_.newest_index();
}

void replica::add_pending_replacement(replacement const& change,
                                      std::vector<replacement> const& abandoned)
{
    auto next = members();
    auto const is_abandoned = [&](replacement const& each)
    { return std::find(abandoned.begin(), abandoned.end(), each) != abandoned.end(); };
    std::erase_if(next.pending,
                  [&](replacement const& each)
                  {
                      return each != change &&
                             (is_addition(each) || is_abandoned(each) ||
                              (each.leaving == change.leaving && each.joining != change.leaving));
                  });
    if (std::find(next.pending.begin(), next.pending.end(), change) == next.pending.end())
        next.pending.push_back(change);
    if (next != members())
        append_membership(std::move(next));
}

bool replica::is_addition(replacement const& change) const
{
    return change.leaving == change.joining && members().find(change.joining) == nullptr;
}

bool replica::begin_replacement(replacement const& change,
                                std::vector<replacement> const& abandoned, instant now)
{
    auto const is_given_up = [&](replacement const& it) {
        return is_addition(it) ||
               std::find(abandoned.begin(), abandoned.end(), it) != abandoned.end();
    };
    auto const& pending = members().pending;
    bool const change_in_progress =
        !is_membership_committed() || !std::all_of(pending.begin(), pending.end(), is_given_up);
    if (ctx_ == nullptr || !is_leader() || !may_act(now) || change_in_progress)
        return false;
    add_pending_replacement(change, abandoned);
    return true;
}

replace_refusal replica::replacement_refusal(replace_member const& req) const
{
    if (!is_leader())
        return replace_refusal::not_leader;
    // Only one membership change at a time, so that consecutive majorities overlap.
    if (!may_act(now()) || !is_membership_committed())
        return replace_refusal::not_confirmed;
    auto const leaves = [&](replacement const& each) { return each.leaving == req.leaving; };
    auto const& pending = members().pending;
    bool const leaving_known = members().find(req.leaving) != nullptr ||
                               std::any_of(pending.begin(), pending.end(), leaves);
    bool const joined = members().find(req.joining) != nullptr;
    if (joined && !leaving_known)
        return replace_refusal::none;
    if (!leaving_known)
        return replace_refusal::unknown_member;
    return joined ? replace_refusal::already_member : replace_refusal::none;
}

void replica::answer_replace_request(operator_request_id id, replace_refusal refusal)
{
    ctx_->answer(id, member_replaced{.refusal = refusal, .leader = leader_});
}

void replica::answer_committed_replacements()
{
    std::erase_if(replace_requests_,
                  [this](auto const& it)
                  {
                      if (it.second > applied_index_)
                          return false;
                      answer_replace_request(it.first, replace_refusal::none);
                      return true;
                  });
}

void replica::refuse_uncommitted_replacements()
{
    for (auto const& [id, index] : replace_requests_)
        answer_replace_request(id, replace_refusal::not_confirmed);
    replace_requests_.clear();
}

} // namespace mulberryrudder::control
