#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

bool replica::heard_leader(instance_id from, term_id term, disk_id to_disk)
{
    if (to_disk != state_.disk || !is_registered() || term < state_.term)
        return false;
    if (term > state_.term)
        adopt_term(term);
    check_invariant(!is_leader(), "one leader in a term");
    check_invariant(!leader_ || *leader_ == from, "one leader in a term");
    if (role_.current() != role::follower)
        stand_down();
    leader_ = from;
    heard_until_ = now() + config_.lease;
    await_leader();
    return true;
}

void replica::take_append(instance_id from, messages::append_request const& it, context&)
{
    messages::append_reply answer{.term = state_.term, .disk = state_.disk, .matched = false};
    if (!heard_leader(from, it.term, it.to_disk))
    {
        // It only tells the newer term: the request's round is one of an earlier term.
        if (it.to_disk == state_.disk && is_registered())
            send_synced(from, answer);
        return;
    }
    answer.term = state_.term;
    answer.round = it.round;
    if (!fits(it))
    {
        with_->counters.add(replica_events::appends_rejected);
        answer.last = std::min(log_.last().index, before(it.previous));
        return send_synced(from, answer);
    }
    append_new(it.entries);
    answer.matched = true;
    answer.last = behind(it.previous, it.entries.size());
    commit_up_to(std::max(committed_, std::min(it.committed, answer.last)));
    send_synced(from, answer);
}

bool replica::fits(messages::append_request const& it) const
{
    // Entries up to the snapshot are committed, so they are the same everywhere.
    if (it.previous <= log_.base().index)
        return true;
    return log_.term_at(it.previous) == it.previous_term;
}

void replica::append_new(std::vector<log_entry> const& entries)
{
    auto const is_held = [this](log_entry const& it)
    { return it.index <= log_.base().index || log_.term_at(it.index) == it.term; };
    auto const first = std::find_if_not(entries.begin(), entries.end(), is_held);
    if (first == entries.end())
        return;
    std::optional<log_index> cut;
    if (first->index <= log_.last().index)
    {
        check_invariant(first->index > committed_, "a committed entry is never replaced");
        cut = first->index;
        log_.cut_from(*cut);
        members_.cut_from(*cut);
        queue_.cut_from(*cut);
    }
    std::for_each(first, entries.end(), [this](log_entry const& it) { take_entry(it); });
    persist_log(cut, {first, entries.end()});
    learn_addresses();
}

} // namespace mulberryrudder::control
