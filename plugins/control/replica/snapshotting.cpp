#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

void replica::take_snapshot_if_due()
{
    auto const threshold = static_cast<std::uint64_t>(config_.snapshot_threshold);
    if (applied_.value() - log_.base().index.value() < threshold)
        return;
    base_ = snapshot{.term = *log_.term_at(applied_),
                     .index = applied_,
                     .members = members_.at(applied_),
                     .parts = with_->observers.collect_snapshot()};
    log_.compact(applied_);
    members_.compact(applied_);
    with_->counters.add(replica_events::snapshots_taken);
    with_->out.push_back(
        persist_snapshot{.ticket = queue_.issue(log_.last().index), .base = *base_});
}

void replica::send_piece(instance_id to, progress& it)
{
    auto const count = std::max<std::size_t>(base_->parts.size(), 1);
    if (it.next_piece >= count)
        it.next_piece = 0;
    it.awaiting = true;
    with_->counters.add(replica_events::pieces_sent);
    with_->send(to, messages::snapshot_piece{.term = state_.term,
                                             .to_disk = it.disk,
                                             .round = lease_.round(),
                                             .base_term = base_->term,
                                             .base_index = base_->index,
                                             .members = base_->members,
                                             .position = it.next_piece,
                                             .count = static_cast<std::uint32_t>(count),
                                             .part = base_->parts.empty()
                                                         ? any_message()
                                                         : base_->parts[it.next_piece]});
}

void replica::take_piece(instance_id from, messages::snapshot_piece const& it, context&)
{
    if (!heard_leader(from, it.term, it.to_disk))
        return;
    bool const whole = it.base_index <= committed_ || collect(it);
    if (whole && it.base_index > committed_)
        install();
    auto const held = incoming_ ? incoming_->parts.size() : 0;
    send_synced(from, messages::snapshot_reply{.term = state_.term,
                                               .disk = state_.disk,
                                               .round = it.round,
                                               .base_index = it.base_index,
                                               .next = static_cast<std::uint32_t>(held),
                                               .installed = whole});
}

bool replica::collect(messages::snapshot_piece const& it)
{
    bool const other =
        !incoming_ || incoming_->index != it.base_index || incoming_->term != it.base_term;
    if (other)
        incoming_ = snapshot{
            .term = it.base_term, .index = it.base_index, .members = it.members, .parts = {}};
    if (it.position == incoming_->parts.size())
        incoming_->parts.push_back(it.part);
    return incoming_->parts.size() == it.count;
}

void replica::install()
{
    auto& parts = incoming_->parts;
    std::erase_if(parts, [](any_message const& it) { return it.type() == typeid(void); });
    base_ = std::move(incoming_);
    incoming_.reset();
    bool const keeps_tail = log_.term_at(base_->index) == base_->term;
    auto const cut = behind(base_->index);
    if (keeps_tail)
    {
        log_.compact(base_->index);
        members_.compact(base_->index);
    }
    else
    {
        log_.reset({.term = base_->term, .index = base_->index});
        members_.reset(base_->index, base_->members);
        queue_.cut_from(cut);
    }
    check_invariant(base_->index >= committed_, "a snapshot never takes back a commit");
    committed_ = applied_ = base_->index;
    with_->out.push_back(
        persist_snapshot{.ticket = queue_.issue(log_.last().index), .base = *base_});
    if (!keeps_tail)
        persist_log(cut, {});
    learn_addresses();
    with_->events.record(replica_events::snapshot_installed,
                         {{"index", std::to_string(base_->index.value())}});
    with_->observers.publish_snapshot(base_->parts);
}

void replica::take_piece_reply(instance_id from, messages::snapshot_reply const& it, context&)
{
    if (!takes_answer(from, it.disk, it.term, it.round))
        return;
    auto& peer = peers_.at(from);
    peer.awaiting = false;
    if (it.installed)
    {
        peer.next_piece = 0;
        note_match(peer, it.base_index, it.round);
    }
    else if (base_ && it.base_index == base_->index)
        peer.next_piece = it.next;
    if (is_leader() && peers_.count(from) != 0)
        send_next(from, peers_.at(from));
    announce_if_confirmed();
    advance_membership();
}

} // namespace mulberryrudder::control
