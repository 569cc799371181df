#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

void replica::take_snapshot_if_due()
{
    if (!is_snapshot_due())
        return;
    // The entries behind the snapshot before stay, for replicas that are a little behind or have
    // just received that one.
    auto const previous = snapshot_index();
    auto const bytes = applied_bytes_;
    hold_snapshot(
        std::make_shared<snapshot const>(snapshot{.term = *log_.term_at(applied_index_),
                                                  .index = applied_index_,
                                                  .members = memberships_.at(applied_index_),
                                                  .parts = ctx_->observers.collect_snapshot()}));
    if (previous > log_.base().index)
        log_.compact(previous);
    memberships_.compact(applied_index_);
    ctx_->counters.add(replica_events::snapshots_taken);
    record_sizes();
    ctx_->events.record(replica_events::snapshot_taken,
                        {{"index", std::to_string(applied_index_.value())},
                         {"entries", std::to_string(applied_index_.value() - previous.value())},
                         {"log_bytes", std::to_string(bytes.count())},
                         {"snapshot_bytes", std::to_string(snapshot_size_.count())}});
    persist_newest_snapshot();
}

bool replica::is_snapshot_due() const
{
    auto const count = applied_index_.value() - snapshot_index().value();
    return count >= static_cast<std::uint64_t>(config_.snapshot_threshold) ||
           applied_bytes_ > log_byte_limit();
}

byte_count replica::log_byte_limit() const
{
    // A large state is not written more often than as much has changed.
    return std::max(byte_count(config_.snapshot_bytes), snapshot_size_);
}

void replica::hold_snapshot(std::shared_ptr<snapshot const> it)
{
    snapshot_ = std::move(it);
    snapshot_size_ = {};
    applied_bytes_ = {};
    for (auto const& part : snapshot_->parts)
        snapshot_size_ += memory_size(part);
}

void replica::persist_newest_snapshot()
{
    ctx_->out.push_back(
        persist_snapshot{.ticket = sync_queue_.issue(log_.last().index), .base = *snapshot_});
}

void replica::record_sizes()
{
    ctx_->counters.set(replica_events::log_bytes, static_cast<std::uint64_t>(log_.bytes().count()));
    ctx_->counters.set(replica_events::snapshot_bytes,
                       static_cast<std::uint64_t>(snapshot_size_.count()));
}

void replica::send_snapshot_piece(instance_id receiver, progress& peer)
{
    if (peer.transfer == nullptr || peer.next_piece == 0)
        peer.transfer = snapshot_;
    auto const& sent = *peer.transfer;
    auto const count = std::max<std::size_t>(sent.parts.size(), 1);
    if (peer.next_piece >= count)
        peer.next_piece = 0;
    begin_flight(peer, sent.index);
    ctx_->counters.add(replica_events::pieces_sent);
    ctx_->send(receiver,
               messages::snapshot_piece{.term = state_.term,
                                        .to_disk = peer.disk,
                                        .round = lease_.round(),
                                        .base_term = sent.term,
                                        .base_index = sent.index,
                                        .members = sent.members,
                                        .position = peer.next_piece,
                                        .count = static_cast<std::uint32_t>(count),
                                        .part = sent.parts.empty() ? any_message()
                                                                   : sent.parts[peer.next_piece]});
}

void replica::handle_snapshot_piece(instance_id sender, messages::snapshot_piece const& piece,
                                    context&)
{
    if (!accept_leader(sender, piece.term, piece.to_disk))
        return;
    bool const complete = piece.base_index <= commit_index_ || collect_piece(piece);
    if (complete && piece.base_index > commit_index_)
        install_snapshot();
    confirm_round(sender, piece.round);
    auto const held = incoming_snapshot_ ? incoming_snapshot_->parts.size() : 0;
    send_after_sync(sender, messages::snapshot_reply{.term = state_.term,
                                                     .disk = state_.disk,
                                                     .round = piece.round,
                                                     .base_index = piece.base_index,
                                                     .next = static_cast<std::uint32_t>(held),
                                                     .installed = complete});
}

bool replica::collect_piece(messages::snapshot_piece const& piece)
{
    bool const is_new = !incoming_snapshot_ || incoming_snapshot_->index != piece.base_index ||
                        incoming_snapshot_->term != piece.base_term;
    if (is_new)
        incoming_snapshot_ = snapshot{.term = piece.base_term,
                                      .index = piece.base_index,
                                      .members = piece.members,
                                      .parts = {}};
    if (piece.position == incoming_snapshot_->parts.size())
        incoming_snapshot_->parts.push_back(piece.part);
    return incoming_snapshot_->parts.size() == piece.count;
}

void replica::install_snapshot()
{
    std::erase_if(incoming_snapshot_->parts,
                  [](any_message const& it) { return it.type() == typeid(void); });
    hold_snapshot(std::make_shared<snapshot const>(std::move(*incoming_snapshot_)));
    incoming_snapshot_.reset();
    bool const keeps_log_tail = log_.term_at(snapshot_->index) == snapshot_->term;
    auto const truncate_from = index_after(snapshot_->index);
    if (keeps_log_tail)
    {
        log_.compact(snapshot_->index);
        memberships_.compact(snapshot_->index);
    }
    else
    {
        log_.reset({.term = snapshot_->term, .index = snapshot_->index});
        memberships_.reset(snapshot_->index, snapshot_->members);
        sync_queue_.truncate_from(truncate_from);
    }
    check_invariant(snapshot_->index >= commit_index_,
                    "an installed snapshot covers all committed entries");
    commit_index_ = applied_index_ = snapshot_->index;
    persist_newest_snapshot();
    if (!keeps_log_tail)
        persist_log(truncate_from, {});
    record_sizes();
    report_peer_addresses();
    ctx_->events.record(replica_events::snapshot_installed,
                        {{"index", std::to_string(snapshot_->index.value())}});
    ctx_->observers.publish_snapshot(snapshot_->parts);
}

void replica::handle_snapshot_reply(instance_id sender, messages::snapshot_reply const& reply,
                                    context&)
{
    if (!accept_reply(sender, reply.disk, reply.term, reply.round))
        return;
    auto& peer = peers_.at(sender);
    end_flight_if_settled(peer, reply.round, true);
    if (reply.installed)
    {
        peer.next_piece = 0;
        peer.transfer.reset();
        record_match(peer, reply.base_index, reply.round);
    }
    else if (peer.transfer && reply.base_index == peer.transfer->index)
        peer.next_piece = reply.next;
    if (is_leader() && peers_.count(sender) != 0)
        send_next(sender, peers_.at(sender));
    announce_leadership_if_confirmed();
    advance_membership_change();
}

} // namespace mulberryrudder::control
