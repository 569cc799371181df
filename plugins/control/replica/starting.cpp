#include "replica.hpp"
#include "replica_events.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Interval between two announcements of a start by an instance without a vote; shorter than
/// the time within which a replaced disk has to catch up.
constexpr seconds announce_interval{1};
/// Disks of one instance whose newest starts are recorded.
constexpr std::ptrdiff_t max_disks_per_instance = 4;
/// Own starts that are recorded. If the start that another replica has recorded is no longer
/// among them, the disk counts as outdated and the replica joins again under a new disk id.
constexpr std::size_t max_own_starts = 64;

} // namespace

bool replica::is_blank() const
{
    return members().group == group_id() && log_.last().index == log_index();
}

/// Without contacts, the settings list the control instances by id, and all are founders.
bool replica::is_founder() const
{
    auto const& founders = self_.initial_voters;
    return self_.contacts.empty() ||
           std::find(founders.begin(), founders.end(), self_.self.id) != founders.end();
}

voter replica::make_founding_voter(instance_id id, disk_id disk) const
{
    auto const contact = self_.contacts.find(id);
    return {.id = id,
            .disk = disk,
            .peer = contact == self_.contacts.end() ? endpoint() : contact->second};
}

bool replica::is_registered() const
{
    if (fresh_disk_)
        return true;
    // Together with this replica they form a majority. A replica without a vote needs as many.
    if (members().voters.empty())
        return registered_at_.size() >= self_.initial_voters.size() / 2;
    std::size_t known = 0;
    for (auto const& it : members().voters)
        known += registered_at_.count(it.id);
    return known >= members().voters.size() / 2;
}

bool replica::must_announce() const
{
    // The newest membership here may come from an entry that the leader does not have.
    if (!has_vote() || !is_registered() || !leader_)
        return true;
    // All other voters must record this start, so that they can detect an outdated disk later.
    auto const has_recorded = [this](voter const& it)
    { return it.id == self_.self.id || registered_at_.count(it.id) != 0; };
    return !std::all_of(members().voters.begin(), members().voters.end(), has_recorded);
}

std::vector<instance_id> replica::known_instance_ids() const
{
    std::set<instance_id> out(self_.initial_voters.begin(), self_.initial_voters.end());
    out.insert(roster_peers_.begin(), roster_peers_.end());
    for (auto const& it : members().voters)
        out.insert(it.id);
    for (auto const& [id, reply] : start_replies_)
        for (auto const& it : reply.members.voters)
            out.insert(it.id);
    out.erase(self_.self.id);
    return {out.begin(), out.end()};
}

void replica::announce_start()
{
    // An instance without a vote is not urgent: it waits until a voter is replaced.
    bool const urgent = self_.contacts.empty() || has_vote() || (is_blank() && is_founder());
    announce_due_ = now() + (urgent ? span(config_.heartbeat_interval) : announce_interval);
    for (auto const id : known_instance_ids())
        send_after_sync(id, messages::start_request{.disk = state_.disk,
                                                    .starts = state_.own_starts,
                                                    .group = members().group,
                                                    .blank = is_blank(),
                                                    .votes = has_vote()});
    found_group_if_all_blank();
}

void replica::handle_start_request(instance_id sender, messages::start_request const& req, context&)
{
    if (req.starts.empty())
        return;
    absence_.record_heard({.id = sender, .disk = req.disk}, now());
    auto const status = classify_start(sender, req);
    start_record const newest{.instance = sender, .disk = req.disk, .nonce = req.starts.back()};
    if (status == messages::start_standing::known && record_start(newest))
        persist_state();
    if (status == messages::start_standing::foreign)
        ctx_->events.record(replica_events::foreign_group,
                            {{"instance", std::to_string(sender.value())}});
    send_after_sync(sender, messages::start_reply{.nonce = req.starts.back(),
                                                  .standing = status,
                                                  .disk = state_.disk,
                                                  .blank = is_blank(),
                                                  .term = state_.term,
                                                  .members = members()});
    if (is_leader() && status == messages::start_standing::known)
        track_peer(sender, req.disk);
}

messages::start_standing replica::classify_start(instance_id sender,
                                                 messages::start_request const& req)
{
    using messages::start_standing;
    bool const both_in_group = req.group != group_id() && members().group != group_id();
    if (both_in_group && req.group != members().group)
        return start_standing::foreign;
    for (auto const& known : state_.starts)
    {
        bool const same_disk = known.instance == sender && known.disk == req.disk;
        auto const found = std::find(req.starts.begin(), req.starts.end(), known.nonce);
        if (same_disk && found == req.starts.end())
            return start_standing::outdated;
    }
    // A disk that the group has replaced still assumes that it has a vote.
    bool const disk_has_vote = members().counts(sender, req.disk);
    if (may_act(now()) && req.votes && !disk_has_vote && is_membership_committed())
        return start_standing::outdated;
    return start_standing::known;
}

bool replica::record_start(start_record const& record)
{
    auto& starts = state_.starts;
    auto const same = [&](start_record const& known)
    { return known.instance == record.instance && known.disk == record.disk; };
    auto const found = std::find_if(starts.begin(), starts.end(), same);
    if (found != starts.end())
    {
        bool const changed = *found != record;
        *found = record;
        return changed;
    }
    auto const of_instance = [&](start_record const& known)
    { return known.instance == record.instance; };
    if (std::count_if(starts.begin(), starts.end(), of_instance) >= max_disks_per_instance)
        starts.erase(std::find_if(starts.begin(), starts.end(), of_instance));
    starts.push_back(record);
    return true;
}

void replica::handle_start_reply(instance_id sender, messages::start_reply const& reply,
                                 context& ctx)
{
    using messages::start_standing;
    absence_.record_heard({.id = sender, .disk = reply.disk}, now());
    if (reply.nonce != state_.own_starts.back())
        return;
    if (reply.standing == start_standing::outdated)
        return rejoin_with_new_disk_id();
    if (reply.standing == start_standing::foreign)
        return ctx.events.record(replica_events::foreign_group,
                                 {{"instance", std::to_string(sender.value())}});
    registered_at_.insert(sender);
    start_replies_[sender] = reply;
    bool const group_exists = reply.members.group != group_id();
    if (is_blank() && group_exists && !reply.members.counts(self_.self.id, state_.disk) &&
        !reported_catching_up_)
    {
        reported_catching_up_ = true;
        ctx.events.record(replica_events::catching_up, {});
    }
    found_group_if_all_blank();
}

void replica::found_group_if_all_blank()
{
    auto const& initial = self_.initial_voters;
    if (!is_blank() || !self_.may_found || initial.empty() ||
        *std::min_element(initial.begin(), initial.end()) != self_.self.id)
        return;
    messages::membership_changed founding{
        .members = {.group = group_id(random_nonzero()),
                    .voters = {make_founding_voter(self_.self.id, state_.disk)}}};
    auto term = state_.term;
    for (auto const id : initial)
    {
        if (id == self_.self.id)
            continue;
        auto const found = start_replies_.find(id);
        if (found == start_replies_.end() || !found->second.blank)
            return;
        founding.members.voters.push_back(make_founding_voter(id, found->second.disk));
        term = std::max(term, found->second.term);
    }
    state_.term = term_id(term.value() + 1);
    state_.voted_for.reset();
    log_entry const first{.term = state_.term,
                          .index = log_index(1),
                          .command = any_message::of(std::move(founding))};
    append_entry(first);
    persist_term();
    persist_log(std::nullopt, {first});
    ctx_->events.record(replica_events::founded, {});
}

void replica::renew_disk_id()
{
    state_.disk = disk_id(random_nonzero());
    state_.own_starts.clear();
}

void replica::record_own_start()
{
    auto& starts = state_.own_starts;
    starts.emplace_back(random_nonzero());
    if (starts.size() > max_own_starts)
        starts.erase(starts.begin());
}

void replica::rejoin_with_new_disk_id()
{
    ctx_->events.record(replica_events::disk_outdated, {});
    step_down();
    sync_queue_.discard_held();
    renew_disk_id();
    record_own_start();
    fresh_disk_ = true;
    registered_at_.clear();
    persist_state();
    announce_start();
}

} // namespace mulberryrudder::control
