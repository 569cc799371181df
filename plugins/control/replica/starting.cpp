#include "replica.hpp"
#include "replica_events.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Pause between two announcements of a start by an instance without a vote: within the
/// time that a replaced disk has to catch up.
constexpr seconds announce_pause{1};
/// Disks of one instance whose newest starts are remembered.
constexpr std::ptrdiff_t disks_kept = 4;
/// Own starts that are remembered. A replica that another one has not seen for more
/// starts joins anew.
constexpr std::size_t own_starts_kept = 64;

} // namespace

bool replica::is_blank() const
{
    return members().group == group_id() && log_.last().index == log_index();
}

/// Settings that number the control instances name founders only.
bool replica::is_founder() const
{
    auto const& founders = self_.initial_voters;
    return self_.contacts.empty() ||
           std::find(founders.begin(), founders.end(), self_.self.id) != founders.end();
}

voter replica::founding_voter(instance_id id, disk_id disk) const
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
    // With this replica they form a majority; one that lost its vote needs as many.
    if (members().voters.empty())
        return registered_at_.size() >= self_.initial_voters.size() / 2;
    std::size_t known = 0;
    for (auto const& it : members().voters)
        known += registered_at_.count(it.id);
    return known >= members().voters.size() / 2;
}

bool replica::must_announce() const
{
    // A replica may count itself by an entry that the leader does not have.
    if (!has_vote() || !is_registered() || !leader_)
        return true;
    // The others must all know of this start, so that an older disk is noticed later.
    auto const knows = [this](voter const& it)
    { return it.id == self_.self.id || registered_at_.count(it.id) != 0; };
    return !std::all_of(members().voters.begin(), members().voters.end(), knows);
}

std::vector<instance_id> replica::known_instances() const
{
    std::set<instance_id> out(self_.initial_voters.begin(), self_.initial_voters.end());
    out.insert(acquaintances_.begin(), acquaintances_.end());
    for (auto const& it : members().voters)
        out.insert(it.id);
    for (auto const& [id, reply] : blank_replies_)
        for (auto const& it : reply.members.voters)
            out.insert(it.id);
    out.erase(self_.self.id);
    return {out.begin(), out.end()};
}

void replica::announce_start()
{
    // An instance without a vote waits until a voter's place is free.
    bool const hurries = self_.contacts.empty() || has_vote() || (is_blank() && is_founder());
    announce_due_ = now() + (hurries ? span(config_.heartbeat) : announce_pause);
    for (auto const id : known_instances())
        send_synced(id, messages::start_request{.disk = state_.disk,
                                                .starts = state_.own_starts,
                                                .group = members().group,
                                                .blank = is_blank(),
                                                .votes = has_vote()});
    found_if_all_blank();
}

void replica::take_start(instance_id from, messages::start_request const& it, context&)
{
    if (it.starts.empty())
        return;
    auto const standing = standing_of(from, it);
    start_record const newest{.instance = from, .disk = it.disk, .nonce = it.starts.back()};
    if (standing == messages::start_standing::known && record_start(newest))
        persist_state();
    if (standing == messages::start_standing::foreign)
        with_->events.record(replica_events::foreign_group,
                             {{"instance", std::to_string(from.value())}});
    send_synced(from, messages::start_reply{.nonce = it.starts.back(),
                                            .standing = standing,
                                            .disk = state_.disk,
                                            .blank = is_blank(),
                                            .term = state_.term,
                                            .members = members()});
    if (is_leader() && standing == messages::start_standing::known)
        follow_disk(from, it.disk);
}

messages::start_standing replica::standing_of(instance_id from, messages::start_request const& it)
{
    using messages::start_standing;
    bool const both_founded = it.group != group_id() && members().group != group_id();
    if (both_founded && it.group != members().group)
        return start_standing::foreign;
    for (auto const& known : state_.starts)
    {
        bool const same_disk = known.instance == from && known.disk == it.disk;
        auto const found = std::find(it.starts.begin(), it.starts.end(), known.nonce);
        if (same_disk && found == it.starts.end())
            return start_standing::outdated;
    }
    // A disk from before its own replacement still believes that it has a vote.
    bool const counts = members().counts(from, it.disk);
    if (may_act(now()) && it.votes && !counts && members_.newest_index() <= committed_)
        return start_standing::outdated;
    return start_standing::known;
}

bool replica::record_start(start_record const& it)
{
    auto& all = state_.starts;
    auto const same = [&](start_record const& known)
    { return known.instance == it.instance && known.disk == it.disk; };
    auto const found = std::find_if(all.begin(), all.end(), same);
    if (found != all.end())
    {
        bool const changed = *found != it;
        *found = it;
        return changed;
    }
    auto const of_instance = [&](start_record const& known)
    { return known.instance == it.instance; };
    if (std::count_if(all.begin(), all.end(), of_instance) >= disks_kept)
        all.erase(std::find_if(all.begin(), all.end(), of_instance));
    all.push_back(it);
    return true;
}

void replica::take_start_reply(instance_id from, messages::start_reply const& it, context& with)
{
    using messages::start_standing;
    if (it.nonce != state_.own_starts.back())
        return;
    if (it.standing == start_standing::outdated)
        return join_anew();
    if (it.standing == start_standing::foreign)
        return with.events.record(replica_events::foreign_group,
                                  {{"instance", std::to_string(from.value())}});
    registered_at_.insert(from);
    blank_replies_[from] = it;
    bool const group_exists = it.members.group != group_id();
    if (is_blank() && group_exists && !it.members.counts(self_.self.id, state_.disk) &&
        !announced_joining_)
    {
        announced_joining_ = true;
        with.events.record(replica_events::catching_up, {});
    }
    found_if_all_blank();
}

void replica::found_if_all_blank()
{
    auto const& initial = self_.initial_voters;
    if (!is_blank() || !self_.may_found || initial.empty() ||
        *std::min_element(initial.begin(), initial.end()) != self_.self.id)
        return;
    messages::membership_changed founding{
        .members = {.group = group_id(draw()),
                    .voters = {founding_voter(self_.self.id, state_.disk)}}};
    auto term = state_.term;
    for (auto const id : initial)
    {
        if (id == self_.self.id)
            continue;
        auto const found = blank_replies_.find(id);
        if (found == blank_replies_.end() || !found->second.blank)
            return;
        founding.members.voters.push_back(founding_voter(id, found->second.disk));
        term = std::max(term, found->second.term);
    }
    state_.term = term_id(term.value() + 1);
    state_.voted_for.reset();
    log_entry const first{.term = state_.term,
                          .index = log_index(1),
                          .command = any_message::of(std::move(founding))};
    take_entry(first);
    persist_state();
    persist_log(std::nullopt, {first});
    with_->events.record(replica_events::founded, {});
}

void replica::take_new_disk_identity()
{
    state_.disk = disk_id(draw());
    state_.own_starts.clear();
}

void replica::note_own_start()
{
    auto& all = state_.own_starts;
    all.emplace_back(draw());
    if (all.size() > own_starts_kept)
        all.erase(all.begin());
}

void replica::join_anew()
{
    with_->events.record(replica_events::disk_outdated, {});
    stand_down();
    queue_.drop_held();
    take_new_disk_identity();
    note_own_start();
    fresh_disk_ = true;
    registered_at_.clear();
    persist_state();
    announce_start();
}

} // namespace mulberryrudder::control
