#include "replica.hpp"

#include "replica_events.hpp"

#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/messages/roster.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

component_registrar<replica> const registered{"replica", component_order::replica};

} // namespace

replica::replica(component_parts const& parts)
    : config_(parts.config.get(replica_section)), self_(parts.self), lease_(config_)
{
    parts.services.provide<replicated_log>(*this);
    parts.services.provide<voter_group>(*this);
}

void replica::recovered(disk_recovered const& recovery, context& ctx)
{
    ctx_ = &ctx;
    if (recovery.failed)
        return role_.disk_failed();
    if (is_stopped())
        role_.disk_restored();
    recovered_at_ = ctx.now;
    absence_.record_leader(ctx.now);
    state_ = recovery.state;
    init_disk_identity(recovery);
    if (recovery.base)
    {
        hold_snapshot(std::make_shared<snapshot const>(*recovery.base));
        log_.reset({.term = snapshot_->term, .index = snapshot_->index});
        memberships_.reset(snapshot_->index, snapshot_->members);
        commit_index_ = applied_index_ = snapshot_->index;
        ctx.observers.publish_snapshot(snapshot_->parts);
    }
    for (auto const& entry : recovery.entries)
    {
        // A crash between writing a snapshot and truncating the log leaves entries that the
        // snapshot replaces.
        if (entry.term < log_.last().term)
            break;
        append_entry(entry);
    }
    sync_queue_.reset(log_.last().index);
    record_sizes();
    persist_term();
    report_peer_addresses();
    // This replica may have granted a leader its lease before the restart.
    bool const lease_granted = !fresh_disk_ && members().voters.size() != 1;
    leader_lease_until_ = lease_granted ? ctx.now + config_.lease_duration : ctx.now;
    reset_election_timer();
    if (!lease_granted)
        election_due_ = ctx.now;
    tick(ctx);
}

void replica::init_disk_identity(disk_recovered const& recovery)
{
    fresh_disk_ = recovery.blank || recovery.copied;
    if (fresh_disk_)
        renew_disk_id();
    if (recovery.copied)
        ctx_->events.record(replica_events::disk_outdated, {});
    record_own_start();
}

void replica::synced(disk_synced const& sync, context& ctx)
{
    ctx_ = &ctx;
    if (is_stopped())
    {
        if (restoring_ticket_ && sync.ticket >= *restoring_ticket_)
            resume();
        return;
    }
    bool const was_term_synced = is_term_synced();
    for (auto& held : sync_queue_.synced(sync.ticket))
        ctx.out.push_back(send_message{std::move(held)});
    if (!was_term_synced && is_term_synced() && !is_leader())
        handle_term_synced();
    if (is_leader())
        advance_commit_index();
}

void replica::disk_lost(disk_failed const& failure, context& ctx)
{
    ctx_ = &ctx;
    ctx.events.record(replica_events::disk_failed, {{"cause", failure.cause}});
    if (!is_stopped())
        step_down();
    sync_queue_.discard_held();
    incoming_snapshot_.reset();
    restoring_ticket_.reset();
    voted_ = false;
    role_.disk_failed();
    ctx.out.push_back(reopen_disk{});
}

void replica::reopened(disk_reopened const&, context& ctx)
{
    ctx_ = &ctx;
    check_invariant(is_stopped(), "only a failed disk is reopened");
    // The memory holds all that was acknowledged, while the end of the log on the disk is unknown.
    persist_state();
    if (snapshot_)
        persist_newest_snapshot();
    auto const first = index_after(snapshot_index());
    persist_log(first, log_.tail(first));
    restoring_ticket_ = sync_queue_.newest_ticket();
}

void replica::resume()
{
    sync_queue_.synced(*restoring_ticket_);
    restoring_ticket_.reset();
    role_.disk_restored();
    reset_election_timer();
    ctx_->events.record(replica_events::disk_restored, {});
}

void replica::received(envelope const& message, context& ctx)
{
    static std::array const table{
        on<&replica::handle_append_request>(), on<&replica::handle_append_reply>(),
        on<&replica::handle_vote_request>(),   on<&replica::handle_vote_reply>(),
        on<&replica::handle_start_request>(),  on<&replica::handle_start_reply>(),
        on<&replica::handle_snapshot_piece>(), on<&replica::handle_snapshot_reply>(),
        on<&replica::handle_round_received>(), on<&replica::handle_lead_handover>(),
    };
    ctx_ = &ctx;
    if (message.body.get<messages::roster_exchange>() != nullptr)
        roster_peers_.insert(message.from);
    if (!is_stopped())
        dispatch(*this, table, message.from, message.body, ctx);
}

bool replica::asked(operator_asked const& req, context& ctx)
{
    static std::array const table{on<&replica::handle_list_members>(),
                                  on<&replica::handle_replace_member>()};
    ctx_ = &ctx;
    return dispatch(*this, table, req.id, req.body, ctx);
}

void replica::tick(context& ctx)
{
    ctx_ = &ctx;
    if (is_stopped())
        return;
    if (must_announce() && now() >= announce_due_)
        announce_start();
    if (is_leader())
        tick_as_leader();
    else
        campaign_if_due();
    record_leader_absence();
}

void replica::record_leader_absence()
{
    // An instance without a vote is sent nothing by the leader.
    if (!has_vote() || may_act(now()))
        absence_.record_leader(now());
    if (absence_.update(now()))
        ctx_->events.record(replica_events::leader_missing,
                            absence_.fields(members(), own_voter(), now()));
}

bool replica::may_act(instant now) const
{
    return leadership_announced_ && now < lease_.confirmed_until();
}

instant replica::confirmed_until() const
{
    return leadership_announced_ ? lease_.confirmed_until() : instant{};
}

std::optional<log_index> replica::propose(any_message command)
{
    // Entries that cannot be committed, such as while disks hang, must not fill the memory.
    bool const is_full = log_.bytes_after(commit_index_) > log_byte_limit();
    if (ctx_ == nullptr || !may_act(now()) || hands_over_ || is_full)
    {
        if (ctx_ != nullptr)
            ctx_->counters.add(replica_events::proposals_refused);
        return std::nullopt;
    }
    ctx_->counters.add(replica_events::entries_proposed);
    append_command(std::move(command));
    send_to_idle_peers();
    return log_.last().index;
}

void replica::persist_state()
{
    ctx_->out.push_back(persist{.ticket = sync_queue_.issue(log_.last().index), .state = state_});
}

void replica::persist_term()
{
    persist_state();
    term_ticket_ = sync_queue_.newest_ticket();
}

void replica::persist_log(std::optional<log_index> cut_from, std::vector<log_entry> entries)
{
    ctx_->out.push_back(persist{.ticket = sync_queue_.issue(log_.last().index),
                                .cut_from = cut_from,
                                .entries = std::move(entries)});
    record_sizes();
}

void replica::append_entry(log_entry const& entry)
{
    log_.append(entry);
    memberships_.append(entry);
}

void replica::report_peer_addresses()
{
    for (auto const& it : members().voters)
        if (it.peer.port != 0)
            ctx_->out.push_back(learn_instance{.id = it.id, .peer = it.peer});
    for (auto const& it : members().pending)
        if (it.peer.port != 0)
            ctx_->out.push_back(learn_instance{.id = it.joining, .peer = it.peer});
}

std::uint64_t replica::random_nonzero()
{
    // Zero means none.
    return std::uniform_int_distribution<std::uint64_t>(1)(ctx_->random);
}

void replica::commit_up_to(log_index index)
{
    check_invariant(index <= log_.last().index, "the commit index is within the log");
    if (index <= commit_index_)
        return;
    commit_index_ = index;
    apply_committed();
}

void replica::apply_committed()
{
    // Guards against recursion: a component may propose while it applies an entry.
    if (applying_)
        return;
    applying_ = true;
    while (applied_index_ < commit_index_)
    {
        auto const next = log_.at(index_after(applied_index_));
        applied_index_ = next.index;
        apply_entry(next);
    }
    applying_ = false;
    answer_committed_replacements();
    take_snapshot_if_due();
}

void replica::apply_entry(log_entry const& entry)
{
    ctx_->counters.add(replica_events::entries_applied);
    applied_bytes_ += memory_size(entry.command);
    if (entry.command.get<messages::membership_changed>() != nullptr)
        ctx_->events.record(
            replica_events::membership_changed,
            {{"voters", std::to_string(memberships_.at(entry.index).voters.size())}});
    if (has_vote() && !had_vote_)
        ctx_->events.record(replica_events::voting, {});
    had_vote_ = has_vote();
    ctx_->observers.publish_applied(entry);
}

} // namespace mulberryrudder::control
