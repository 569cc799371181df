#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <functional>

namespace mulberryrudder::control
{

namespace
{

/// Election timeouts without a commit after which a leader lets another one try: more than several
/// syncs of a slow disk take.
constexpr int give_way_timeouts = 30;
/// Rounds after a reply within which the next one is due from a replica that is heard. A disk that
/// takes longer counts as hanging. A slow one costs the group nothing, but to replace its voter
/// does: a change of voters takes several syncs.
constexpr int max_syncing_rounds = 50;

} // namespace

void replica::become_leader()
{
    leader_ = self_.self.id;
    lease_.reset();
    peers_.clear();
    for (auto const& it : members().voters)
        if (it.id != self_.self.id)
            track_peer(it.id, it.disk);
    append_command(any_message::of(messages::term_opened{}));
    term_start_ = log_.last().index;
    confirmation_deadline_ = now() + config_.election_timeout;
    give_way_at_ = now() + config_.election_timeout * give_way_timeouts;
    open_round();
}

void replica::tick_as_leader()
{
    if (now() >= confirmation_deadline_)
        return step_down();
    if (!may_hold_up_commits())
        give_way_at_ = now() + config_.election_timeout * give_way_timeouts;
    // The lease needs no disk, so that it alone would keep a leader that is heard by voters whose
    // disks hang.
    else if (now() >= give_way_at_)
        return step_down();
    if (now() >= heartbeat_due_)
        open_round();
    announce_leadership_if_confirmed();
    advance_membership_change();
}

bool replica::may_hold_up_commits() const
{
    auto const& voters = members().voters;
    return log_.last().index > commit_index_ &&
           !std::all_of(voters.begin(), voters.end(),
                        [this](voter const& it) { return is_heard(it); });
}

bool replica::hand_over_lead(std::set<instance_id> const& excluded, instant now)
{
    if (ctx_ == nullptr || !may_act(now))
        return false;
    hands_over_ = false;
    bool may_retry = false;
    bool const is_committed = commit_index_ == log_.last().index;
    for (auto const& it : members().voters)
    {
        if (it.id == self_.self.id || excluded.contains(it.id))
            continue;
        // One that is not heard now may be heard again while the lease holds.
        may_retry = true;
        if (!is_working(it))
            continue;
        hands_over_ = true;
        if (!is_committed || peers_.at(it.id).match_index != log_.last().index)
            continue;
        messages::lead_handover const out{.term = state_.term, .to_disk = it.disk};
        ctx_->events.record(replica_events::lead_handed_over,
                            {{"to", std::to_string(it.id.value())}});
        // The other one may lead from the moment at which it receives the message.
        step_down();
        ctx_->send(it.id, out);
        return true;
    }
    return may_retry;
}

bool replica::is_voter_or_joining(instance_id id) const
{
    auto const joins = [&](replacement const& it) { return it.joining == id; };
    auto const& pending = members().pending;
    return members().find(id) != nullptr || std::any_of(pending.begin(), pending.end(), joins);
}

void replica::remove_departed_peers()
{
    std::erase_if(peers_, [this](auto const& it) { return !is_voter_or_joining(it.first); });
}

void replica::track_peer(instance_id id, disk_id disk)
{
    if (!is_voter_or_joining(id) || id == self_.self.id)
        return;
    auto& peer = peers_[id];
    if (peer.disk != disk)
        peer = {.disk = disk, .next_index = index_after(log_.last().index)};
}

void replica::append_command(any_message command)
{
    log_entry const entry{.term = state_.term,
                          .index = index_after(log_.last().index),
                          .command = std::move(command)};
    append_entry(entry);
    persist_log(std::nullopt, {entry});
}

void replica::open_round()
{
    heartbeat_due_ = now() + config_.heartbeat_interval;
    lease_.open_round(now());
    extend_lease();
    for (auto& [id, peer] : peers_)
        send_next(id, peer);
    announce_leadership_if_confirmed();
}

void replica::send_to_idle_peers()
{
    for (auto& [id, peer] : peers_)
        if (!peer.in_flight)
            send_next(id, peer);
}

void replica::send_next(instance_id receiver, progress& peer)
{
    if (peer.in_flight)
        send_append(receiver, peer, std::max(index_before(peer.next_index), log_.base().index), {});
    else if (peer.next_index <= log_.base().index)
        send_snapshot_piece(receiver, peer);
    else
    {
        peer.transfer.reset();
        send_entries(receiver, peer);
    }
}

void replica::begin_flight(progress& peer, log_index last)
{
    peer.in_flight = true;
    peer.flight_round = lease_.round();
    peer.flight_last = last;
}

void replica::end_flight_if_settled(progress& peer, messages::round_id round, bool may_answer)
{
    // A replica replies in the order in which messages arrive, so the reply to a later round shows
    // that the message or its reply was lost. Another message of the same round may be older.
    if (round > peer.flight_round || (round == peer.flight_round && may_answer))
        peer.in_flight = false;
}

void replica::send_entries(instance_id receiver, progress& peer)
{
    auto entries = log_.slice(peer.next_index, static_cast<std::size_t>(config_.max_append_entries),
                              byte_count(config_.max_append_bytes));
    if (!entries.empty())
        begin_flight(peer, entries.back().index);
    ctx_->counters.add(replica_events::entries_sent, entries.size());
    // Sent without waiting for the own sync, which runs in parallel with the followers'.
    send_append(receiver, peer, index_before(peer.next_index), std::move(entries));
}

void replica::send_append(instance_id receiver, progress const& peer, log_index previous,
                          std::vector<log_entry> entries)
{
    ctx_->send(receiver, messages::append_request{.term = state_.term,
                                                  .to_disk = peer.disk,
                                                  .round = lease_.round(),
                                                  .previous = previous,
                                                  .previous_term = *log_.term_at(previous),
                                                  .entries = std::move(entries),
                                                  .committed = commit_index_});
}

progress* replica::find_peer(instance_id sender, disk_id disk)
{
    auto const found = peers_.find(sender);
    bool const is_tracked = is_leader() && found != peers_.end() && found->second.disk == disk;
    return is_tracked ? &found->second : nullptr;
}

void replica::handle_round_received(instance_id sender, messages::round_received const& notice,
                                    context&)
{
    auto* const peer = find_peer(sender, notice.disk);
    if (peer == nullptr || notice.term != state_.term)
        return;
    peer->heard_round = std::max(peer->heard_round, notice.round);
    lease_.record_reply({.id = sender, .disk = notice.disk}, notice.round);
    extend_lease();
    announce_leadership_if_confirmed();
}

bool replica::accept_reply(instance_id sender, disk_id disk, term_id term, messages::round_id round)
{
    auto* const peer = find_peer(sender, disk);
    if (peer == nullptr)
        return false;
    if (term > state_.term)
    {
        adopt_term(term);
        return false;
    }
    if (term < state_.term)
        return false;
    if (round > peer->replied_round)
        peer->answers_until = after_rounds(max_syncing_rounds);
    peer->replied_round = std::max(peer->replied_round, round);
    peer->heard_round = std::max(peer->heard_round, round);
    lease_.record_reply({.id = sender, .disk = disk}, round);
    extend_lease();
    return true;
}

void replica::extend_lease()
{
    auto const until = lease_.confirmed_until();
    lease_.extend(members(), own_voter());
    if (lease_.confirmed_until() > until)
        confirmation_deadline_ = now() + config_.election_timeout;
}

void replica::handle_append_reply(instance_id sender, messages::append_reply const& reply, context&)
{
    if (!accept_reply(sender, reply.disk, reply.term, reply.round))
        return;
    auto& peer = peers_.at(sender);
    if (reply.matched)
        record_match(peer, reply.last, reply.round);
    else
        handle_mismatch(sender, peer, reply);
    auto const found = peers_.find(sender);
    if (found != peers_.end() && found->second.next_index <= log_.last().index &&
        !found->second.in_flight)
        send_next(sender, found->second);
    announce_leadership_if_confirmed();
    advance_membership_change();
}

void replica::record_match(progress& peer, log_index match_index, messages::round_id round)
{
    check_invariant(match_index <= log_.last().index, "match index within the leader's log");
    end_flight_if_settled(peer, round, match_index >= peer.flight_last);
    if (round > peer.matched_round)
        peer.syncs_until = after_rounds(max_syncing_rounds);
    peer.matched_round = std::max(peer.matched_round, round);
    peer.match_index = std::max(peer.match_index, match_index);
    peer.next_index = std::max(peer.next_index, index_after(peer.match_index));
    advance_commit_index();
}

void replica::handle_mismatch(instance_id sender, progress& peer,
                              messages::append_reply const& reply)
{
    end_flight_if_settled(peer, reply.round, peer.transfer == nullptr);
    if (reply.round <= peer.matched_round)
        return;
    if (reply.last >= peer.match_index)
    {
        peer.next_index = std::min(peer.next_index, index_after(reply.last));
        return;
    }
    // The replica acknowledged more entries than it has now: its disk was replaced by an older
    // image.
    for (auto const& known : state_.starts)
        if (known.instance == sender && known.disk == peer.disk)
            ctx_->send(sender, messages::start_reply{.nonce = known.nonce,
                                                     .standing = messages::start_standing::outdated,
                                                     .disk = state_.disk,
                                                     .term = state_.term,
                                                     .members = members()});
    peers_.erase(sender);
}

void replica::advance_commit_index()
{
    std::vector<log_index> durable;
    for (auto const& it : members().voters)
    {
        auto const found = peers_.find(it.id);
        if (it.id == self_.self.id && it.disk == state_.disk)
            durable.push_back(sync_queue_.durable());
        else if (found != peers_.end() && found->second.disk == it.disk)
            durable.push_back(found->second.match_index);
        else
            durable.emplace_back();
    }
    if (durable.empty())
        return;
    std::sort(durable.begin(), durable.end(), std::greater<>());
    auto const by_majority = durable[majority(members()) - 1];
    // Entries of earlier terms are committed only together with one of the own term
    // (Raft, section 5.4.2).
    if (by_majority <= commit_index_ || log_.term_at(by_majority) != state_.term)
        return;
    commit_up_to(by_majority);
    give_way_at_ = now() + config_.election_timeout * give_way_timeouts;
    bool const self_removed = members().find(self_.self.id) == nullptr;
    if (is_leader() && self_removed && is_membership_committed())
        return step_down();
    announce_leadership_if_confirmed();
}

void replica::announce_leadership_if_confirmed()
{
    if (!is_leader() || leadership_announced_ || applied_index_ < term_start_ ||
        now() >= lease_.confirmed_until())
        return;
    leadership_announced_ = true;
    auto const since_start = std::chrono::duration_cast<milliseconds>(now() - recovered_at_);
    ctx_->events.record(replica_events::leading,
                        {{"term", std::to_string(state_.term.value())},
                         {"since_start_ms", std::to_string(since_start.count())}});
    ctx_->observers.publish_leading();
}

} // namespace mulberryrudder::control
