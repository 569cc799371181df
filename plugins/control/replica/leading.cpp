#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <functional>

namespace mulberryrudder::control
{

void replica::lead()
{
    leader_ = self_.self.id;
    lease_.reset();
    peers_.clear();
    for (auto const& it : members().voters)
        if (it.id != self_.self.id)
            follow_disk(it.id, it.disk);
    append_command(any_message::of(messages::term_opened{}));
    opened_at_ = log_.last().index;
    confirmation_due_ = now() + config_.election_timeout;
    open_round();
}

void replica::lead_tick()
{
    if (now() >= confirmation_due_)
        return stand_down();
    if (now() >= heartbeat_due_)
        open_round();
    announce_if_confirmed();
    advance_membership();
}

bool replica::belongs(instance_id id) const
{
    auto const joins = [&](replacement const& it) { return it.joining == id; };
    auto const& pending = members().pending;
    return members().find(id) != nullptr || std::any_of(pending.begin(), pending.end(), joins);
}

void replica::forget_removed()
{
    std::erase_if(peers_, [this](auto const& it) { return !belongs(it.first); });
}

void replica::follow_disk(instance_id id, disk_id disk)
{
    if (!belongs(id) || id == self_.self.id)
        return;
    auto& it = peers_[id];
    if (it.disk != disk)
        it = {.disk = disk, .next = behind(log_.last().index)};
}

void replica::append_command(any_message command)
{
    log_entry const it{
        .term = state_.term, .index = behind(log_.last().index), .command = std::move(command)};
    take_entry(it);
    persist_log(std::nullopt, {it});
}

void replica::open_round()
{
    heartbeat_due_ = now() + config_.heartbeat;
    lease_.open_round(now());
    extend_lease();
    for (auto& [id, it] : peers_)
        send_next(id, it);
    announce_if_confirmed();
}

void replica::send_to_idle()
{
    for (auto& [id, it] : peers_)
        if (!it.awaiting)
            send_next(id, it);
}

void replica::send_next(instance_id to, progress& it)
{
    if (it.next <= log_.base().index)
        send_piece(to, it);
    else
        send_entries(to, it);
}

void replica::send_entries(instance_id to, progress& it)
{
    auto const previous = before(it.next);
    messages::append_request out{.term = state_.term,
                                 .to_disk = it.disk,
                                 .round = lease_.round(),
                                 .previous = previous,
                                 .previous_term = *log_.term_at(previous),
                                 .committed = committed_};
    out.entries = log_.slice(it.next, static_cast<std::size_t>(config_.append_batch));
    it.awaiting = !out.entries.empty();
    // The leader's own sync runs beside those of the others.
    with_->send(to, std::move(out));
}

bool replica::takes_answer(instance_id from, disk_id disk, term_id term, messages::round_id round)
{
    auto const found = peers_.find(from);
    if (!is_leader() || found == peers_.end() || found->second.disk != disk)
        return false;
    if (term > state_.term)
    {
        adopt_term(term);
        return false;
    }
    if (term < state_.term)
        return false;
    lease_.answered({.id = from, .disk = disk}, round);
    extend_lease();
    return true;
}

void replica::extend_lease()
{
    auto const until = lease_.confirmed_until();
    lease_.count(members(), own_voter());
    if (lease_.confirmed_until() > until)
        confirmation_due_ = now() + config_.election_timeout;
}

void replica::take_append_reply(instance_id from, messages::append_reply const& it, context&)
{
    if (!takes_answer(from, it.disk, it.term, it.round))
        return;
    auto& peer = peers_.at(from);
    if (it.matched)
        note_match(peer, it.last, it.round);
    else
        note_mismatch(from, peer, it);
    auto const found = peers_.find(from);
    if (found != peers_.end() && found->second.next <= log_.last().index && !found->second.awaiting)
        send_next(from, found->second);
    announce_if_confirmed();
    advance_membership();
}

void replica::note_match(progress& it, log_index match, messages::round_id round)
{
    check_invariant(match <= log_.last().index, "no replica matches behind the leader's log");
    it.awaiting = false;
    it.matched_in = std::max(it.matched_in, round);
    it.match = std::max(it.match, match);
    it.next = std::max(it.next, behind(it.match));
    commit_by_majority();
}

void replica::note_mismatch(instance_id from, progress& it, messages::append_reply const& reply)
{
    it.awaiting = false;
    if (reply.round <= it.matched_in)
        return;
    if (reply.last >= it.match)
    {
        it.next = std::min(it.next, behind(reply.last));
        return;
    }
    // It acknowledged more than it holds now: its disk was exchanged for an older one.
    for (auto const& known : state_.starts)
        if (known.instance == from && known.disk == it.disk)
            with_->send(from, messages::start_reply{.nonce = known.nonce,
                                                    .standing = messages::start_standing::outdated,
                                                    .disk = state_.disk,
                                                    .term = state_.term,
                                                    .members = members()});
    peers_.erase(from);
}

void replica::commit_by_majority()
{
    std::vector<log_index> held;
    for (auto const& it : members().voters)
    {
        auto const found = peers_.find(it.id);
        if (it.id == self_.self.id && it.disk == state_.disk)
            held.push_back(queue_.durable());
        else if (found != peers_.end() && found->second.disk == it.disk)
            held.push_back(found->second.match);
        else
            held.emplace_back();
    }
    if (held.empty())
        return;
    std::sort(held.begin(), held.end(), std::greater<>());
    auto const by_majority = held[majority(members()) - 1];
    // Entries of earlier terms are committed only along with one of the own term.
    if (by_majority <= committed_ || log_.term_at(by_majority) != state_.term)
        return;
    commit_up_to(by_majority);
    bool const removed = members().find(self_.self.id) == nullptr;
    if (is_leader() && removed && members_.newest_index() <= committed_)
        return stand_down();
    announce_if_confirmed();
}

void replica::announce_if_confirmed()
{
    if (!is_leader() || announced_ || applied_ < opened_at_ || now() >= lease_.confirmed_until())
        return;
    announced_ = true;
    with_->events.record(replica_events::leading, {{"term", std::to_string(state_.term.value())}});
    with_->observers.publish_leading();
}

} // namespace mulberryrudder::control
