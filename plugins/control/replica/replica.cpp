#include "replica.hpp"

#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/messages/roster.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

component_registrar<replica> const entered{"replica", component_order::replica};

} // namespace

replica::replica(component_parts const& parts)
    : config_(parts.config.get(replica_section)), self_(parts.self), lease_(config_)
{
    parts.services.provide<replicated_log>(*this);
    parts.services.provide<voter_group>(*this);
}

void replica::recovered(disk_recovered const& it, context& with)
{
    with_ = &with;
    state_ = it.state;
    begin_start(it);
    if (it.base)
    {
        base_ = it.base;
        log_.reset({.term = base_->term, .index = base_->index});
        members_.reset(base_->index, base_->members);
        committed_ = applied_ = base_->index;
        with.observers.publish_snapshot(base_->parts);
    }
    for (auto const& entry : it.entries)
    {
        // A crash between a snapshot and its cut leaves entries that the snapshot voids.
        if (entry.term < log_.last().term)
            break;
        take_entry(entry);
    }
    queue_.reset(log_.last().index);
    persist_state();
    learn_addresses();
    // The last run may have promised a leader its lease.
    bool const promised = !fresh_disk_ && members().voters.size() != 1;
    heard_until_ = promised ? with.now + config_.lease : with.now;
    await_leader();
    if (!promised)
        election_due_ = with.now;
    tick(with);
}

void replica::begin_start(disk_recovered const& it)
{
    fresh_disk_ = it.blank || it.copied;
    if (fresh_disk_)
        take_new_disk_identity();
    if (it.copied)
        with_->events.record(replica_events::disk_outdated, {});
    note_own_start();
}

void replica::synced(disk_synced const& it, context& with)
{
    with_ = &with;
    if (is_failed())
        return;
    for (auto& message : queue_.synced(it.ticket))
        with.out.push_back(send_message{std::move(message)});
    if (role_.current() == role::candidate && queue_.synced_ticket() >= own_vote_)
        count_vote(self_.self.id);
    if (is_leader())
        commit_by_majority();
}

void replica::disk_lost(disk_failed const& it, context& with)
{
    with_ = &with;
    if (is_failed())
        return;
    with.events.record(replica_events::disk_failed, {{"cause", it.cause}});
    stand_down();
    queue_.drop_held();
    role_.disk_lost();
}

void replica::received(envelope const& it, context& with)
{
    static std::array const table{
        on<&replica::take_append>(),       on<&replica::take_append_reply>(),
        on<&replica::take_vote_request>(), on<&replica::take_vote_reply>(),
        on<&replica::take_start>(),        on<&replica::take_start_reply>(),
        on<&replica::take_piece>(),        on<&replica::take_piece_reply>(),
    };
    with_ = &with;
    if (it.body.get<messages::roster_exchange>() != nullptr)
        acquaintances_.insert(it.from);
    if (!is_failed())
        dispatch(*this, table, it.from, it.body, with);
}

bool replica::asked(operator_asked const& it, context& with)
{
    static std::array const table{on<&replica::take_list>(), on<&replica::take_replace>()};
    with_ = &with;
    return dispatch(*this, table, it.id, it.body, with);
}

void replica::tick(context& with)
{
    with_ = &with;
    if (is_failed())
        return;
    if (must_announce() && now() >= announce_due_)
        announce_start();
    if (is_leader())
        lead_tick();
    else
        campaign_if_due();
}

bool replica::may_act(instant now) const
{
    return announced_ && now < lease_.confirmed_until();
}

instant replica::confirmed_until() const
{
    return announced_ ? lease_.confirmed_until() : instant{};
}

std::optional<log_index> replica::propose(any_message command)
{
    if (with_ == nullptr || !may_act(now()))
    {
        if (with_ != nullptr)
            with_->counters.add(replica_events::proposals_refused);
        return std::nullopt;
    }
    with_->counters.add(replica_events::entries_proposed);
    append_command(std::move(command));
    send_to_idle();
    return log_.last().index;
}

void replica::persist_state()
{
    with_->out.push_back(persist{.ticket = queue_.issue(log_.last().index), .state = state_});
}

void replica::persist_log(std::optional<log_index> cut_from, std::vector<log_entry> entries)
{
    with_->out.push_back(persist{.ticket = queue_.issue(log_.last().index),
                                 .cut_from = cut_from,
                                 .entries = std::move(entries)});
}

void replica::take_entry(log_entry const& it)
{
    log_.append(it);
    members_.append(it);
}

void replica::learn_addresses()
{
    for (auto const& it : members().voters)
        if (it.peer.port != 0)
            with_->out.push_back(learn_instance{.id = it.id, .peer = it.peer});
    for (auto const& it : members().pending)
        if (it.peer.port != 0)
            with_->out.push_back(learn_instance{.id = it.joining, .peer = it.peer});
}

std::uint64_t replica::draw()
{
    // Zero stands for none.
    return std::uniform_int_distribution<std::uint64_t>(1)(with_->random);
}

void replica::commit_up_to(log_index it)
{
    check_invariant(it <= log_.last().index, "only entries in the log are committed");
    if (it <= committed_)
        return;
    committed_ = it;
    apply_committed();
}

void replica::apply_committed()
{
    // A component may propose while it is told of an entry.
    if (applying_)
        return;
    applying_ = true;
    while (applied_ < committed_)
    {
        auto const next = log_.at(behind(applied_));
        applied_ = next.index;
        apply_one(next);
    }
    applying_ = false;
    answer_committed();
    take_snapshot_if_due();
}

void replica::apply_one(log_entry const& it)
{
    with_->counters.add(replica_events::entries_applied);
    if (it.command.get<messages::membership_changed>() != nullptr)
        with_->events.record(replica_events::membership_changed,
                             {{"voters", std::to_string(members_.at(it.index).voters.size())}});
    if (has_vote() && !had_vote_)
        with_->events.record(replica_events::voting, {});
    had_vote_ = has_vote();
    with_->observers.publish_applied(it);
}

} // namespace mulberryrudder::control
