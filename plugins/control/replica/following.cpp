#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

void replica::confirm_round(instance_id leader, messages::round_id round)
{
    // Voting for no other replica during the lease takes no disk, and neither does the wait after a
    // restart.
    if (!sync_queue_.is_idle())
        ctx_->send(leader, messages::round_received{
                               .term = state_.term, .disk = state_.disk, .round = round});
}

bool replica::accept_leader(instance_id sender, term_id term, disk_id to_disk)
{
    if (to_disk != state_.disk || !is_registered() || term < state_.term)
        return false;
    if (term > state_.term)
        adopt_term(term);
    check_invariant(!is_leader(), "one leader in a term");
    check_invariant(!leader_ || *leader_ == sender, "one leader in a term");
    if (role_.current() != role::follower)
        step_down();
    leader_ = sender;
    absence_.record_leader(now());
    voted_ = false;
    candidate_awaited_until_ = {};
    leader_lease_until_ = now() + config_.lease_duration;
    reset_election_timer();
    return true;
}

void replica::handle_append_request(instance_id sender, messages::append_request const& req,
                                    context&)
{
    messages::append_reply reply{.term = state_.term, .disk = state_.disk, .matched = false};
    if (!accept_leader(sender, req.term, req.to_disk))
    {
        // The reply carries only the newer term, not the round, which belongs to an earlier term.
        if (req.to_disk == state_.disk && is_registered())
            send_after_sync(sender, reply);
        return;
    }
    reply.term = state_.term;
    reply.round = req.round;
    if (!matches_previous_entry(req))
    {
        ctx_->counters.add(replica_events::appends_rejected);
        reply.last = std::min(log_.last().index, index_before(req.previous));
        confirm_round(sender, req.round);
        return send_after_sync(sender, reply);
    }
    append_missing(req.entries);
    reply.matched = true;
    reply.last = index_after(req.previous, req.entries.size());
    commit_up_to(std::max(commit_index_, std::min(req.committed, reply.last)));
    confirm_round(sender, req.round);
    send_after_sync(sender, reply);
}

bool replica::matches_previous_entry(messages::append_request const& req) const
{
    // Entries up to the snapshot are committed, so they are equal on all replicas.
    if (req.previous <= log_.base().index)
        return true;
    return log_.term_at(req.previous) == req.previous_term;
}

void replica::append_missing(std::vector<log_entry> const& entries)
{
    auto const is_held = [this](log_entry const& it)
    { return it.index <= log_.base().index || log_.term_at(it.index) == it.term; };
    auto const first = std::find_if_not(entries.begin(), entries.end(), is_held);
    if (first == entries.end())
        return;
    std::optional<log_index> truncated_from;
    if (first->index <= log_.last().index)
    {
        check_invariant(first->index > commit_index_, "a committed entry is never replaced");
        truncated_from = first->index;
        log_.truncate_from(*truncated_from);
        memberships_.truncate_from(*truncated_from);
        sync_queue_.truncate_from(*truncated_from);
    }
    std::for_each(first, entries.end(), [this](log_entry const& it) { append_entry(it); });
    persist_log(truncated_from, {first, entries.end()});
    report_peer_addresses();
}

} // namespace mulberryrudder::control
