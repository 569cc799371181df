#include "target_registry.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

kernel::counter_kind const known_counter("targets.known", "Number of known targets.");
kernel::counter_kind const serving_counter("targets.serving",
                                           "Number of targets that may get new requests.");
kernel::counter_kind const probes_counter("targets.probes", "Probes sent to failing targets.");
kernel::counter_kind const
    announcements_counter("targets.announcements",
                          "Announcements received from targets by this instance.");
kernel::counter_kind const
    sheds_counter("targets.sheds", "Requests that a target declined because it was overloaded.");

kernel::event_kind const
    phase_changed_event({.number = 200,
                         .name = "target.phase_changed",
                         .level = kernel::severity::info,
                         .meaning = "A target entered another phase of its life cycle.",
                         .action = "None; examine a target that is often suspected."});

kernel::event_kind const domain_adopted_event(
    {.number = 201,
     .name = "target.domain_adopted",
     .level = kernel::severity::warning,
     .meaning = "This instance takes over the targets of another failure domain.",
     .action = "Restore the entry instances of that failure domain."});

/// Time after the first announcement during which new targets count as already warm, since
/// they were running before this instance started.
constexpr seconds startup_grace{2};

/// Time for which a sibling's statement that it holds a lease is valid.
constexpr seconds sibling_lease_validity{2};

std::string_view to_string(target_phase phase)
{
    static constexpr std::array<std::string_view, 5> names{"starting", "serving", "suspected",
                                                           "leaving", "gone"};
    return names.at(static_cast<std::size_t>(phase));
}

bool matches(target_record const& record, version_id const& version)
{
    return version.value().empty() || record.view.version == version;
}

} // namespace

target_registry::target_registry(stage_parts const& parts)
    : config_(parts.config.get(target_section)), self_(parts.self), services_(parts.services)
{
    parts.services.provide<target_directory>(*this);
}

void target_registry::attempt_started(request const&, attempt const& sent, context&)
{
    auto const found = records_.find(sent.target.id);
    if (found == records_.end())
        return;
    auto& view = found->second->view;
    view.running += slots(1);
    check_invariant(view.running <= view.limit,
                    "a target's running requests do not exceed its limit");
}

void target_registry::attempt_ended(request const&, attempt const& sent, attempt_end const& result,
                                    context& ctx)
{
    using handler =
        void (target_registry::*)(target_record&, attempt const&, attempt_end const&, context&);
    static constexpr std::array<handler, 8> handlers{
        &target_registry::on_connection_failure, // connect_refused
        &target_registry::on_connection_failure, // connect_timeout
        &target_registry::on_failure,            // closed
        &target_registry::on_failure,            // timeout
        &target_registry::on_failure,            // malformed
        &target_registry::on_shed,               // shed
        &target_registry::on_connection_failure, // misdirected
        &target_registry::on_cancelled,          // cancelled
    };
    auto const found = records_.find(sent.target.id);
    if (found == records_.end())
        return;
    auto& record = *found->second;
    record.view.running -= slots(1);
    check_invariant(record.view.running.count() >= 0,
                    "a target's running requests are not negative");
    auto const before = record.life.phase();
    auto const call = result.failed ? handlers.at(static_cast<std::size_t>(*result.failed))
                                    : &target_registry::on_reply;
    (this->*call)(record, sent, result, ctx);
    update_phase(record, before, ctx);
    refresh(record, ctx);
}

void target_registry::on_reply(target_record& record, attempt const& sent,
                               attempt_end const& result, context& ctx)
{
    record.observed.record_reply(std::chrono::duration_cast<microseconds>(ctx.now - sent.started),
                                 ctx.now);
    if (result.load)
        record.view.reported = result.load;
}

void target_registry::on_failure(target_record& record, attempt const&, attempt_end const&,
                                 context& ctx)
{
    if (record.observed.record_failure() < config_.failures_to_suspect)
        return;
    record.failing = true;
    record.next_probe = next_probe_time(record.probes_failed, ctx.now, config_.probe_interval);
    record.life.failed();
}

void target_registry::on_connection_failure(target_record& record, attempt const&,
                                            attempt_end const&, context& ctx)
{
    record.observed.record_failure();
    record.failing = true;
    record.next_probe = next_probe_time(record.probes_failed, ctx.now, config_.probe_interval);
    record.life.failed();
}

void target_registry::on_shed(target_record& record, attempt const&, attempt_end const&,
                              context& ctx)
{
    ctx.counters.add(sheds_counter);
    record.observed.record_shed(record.view.running, ctx.now, config_.shed_pause);
}

void target_registry::on_cancelled(target_record&, attempt const&, attempt_end const&, context&) {}

void target_registry::announced(announcement const& notice, context& ctx)
{
    ctx.counters.add(announcements_counter);
    update_target(notice, ctx);
    pending_relay_.insert_or_assign(notice.id, notice);
    if (notice.state == target_state::leaving)
        relay_announcements(ctx);
}

void target_registry::received(envelope const& message, context& ctx)
{
    static auto const table = std::array{on_message<&target_registry::handle_relay>()};
    dispatch(*this, table, message, ctx);
}

void target_registry::handle_relay(instance_id sender, messages::target_relay const& relay,
                                   context& ctx)
{
    auto const is_sender = [sender](messages::member const& member)
    { return member.where.id == sender; };
    auto const found = std::find_if(members_.begin(), members_.end(), is_sender);
    bool const sibling = found != members_.end() && found->where.domain == self_.self.domain;
    if (relay.leased && sibling)
        sibling_lease_until_ = ctx.now + sibling_lease_validity;
    for (auto const& notice : relay.heard)
        update_target(notice, ctx);
}

void target_registry::update_target(announcement const& notice, context& ctx)
{
    first_announcement_at_ = std::min(first_announcement_at_, ctx.now);
    auto& record = find_or_add(notice, ctx);
    auto const before = record.life.phase();
    bool const routes_changed = record.announced.routes != notice.routes;
    record.announced = notice;
    record.view.where = notice.where;
    record.view.version = notice.version;
    if (notice.load)
        record.view.reported = notice.load;
    record.silence_deadline = ctx.now + config_.silence_timeout;
    record.expires_at = ctx.now + config_.expire_after;
    if (notice.state == target_state::starting)
    {
        record.ramp_ends_at = ctx.now + config_.ramp;
        record.failing = false;
    }
    record.life.announced(notice.state);
    if (!record.failing)
        record.life.recovered();
    if (routes_changed)
        index_routes();
    update_phase(record, before, ctx);
    refresh(record, ctx);
}

target_record& target_registry::find_or_add(announcement const& notice, context& ctx)
{
    auto const found = records_.find(notice.id);
    if (found != records_.end())
        return *found->second;
    auto added = std::make_unique<target_record>();
    added->announced = notice;
    added->view.id = notice.id;
    bool const is_new = ctx.now > first_announcement_at_ + startup_grace;
    added->ramp_ends_at = is_new ? ctx.now + config_.ramp : ctx.now;
    auto& out = *records_.emplace(notice.id, std::move(added)).first->second;
    index_routes();
    return out;
}

void target_registry::index_routes()
{
    by_route_.clear();
    for (auto const& [id, it] : records_)
        for (auto const& route : it->announced.routes)
            by_route_[route].push_back(it.get());
}

void target_registry::probed(probe_ended const& result, context& ctx)
{
    auto const found = records_.find(result.id);
    if (found == records_.end())
        return;
    auto& record = *found->second;
    auto const before = record.life.phase();
    if (result.healthy)
    {
        record.failing = false;
        record.probes_failed = 0;
        record.next_probe = never;
        record.life.recovered();
    }
    else
    {
        ++record.probes_failed;
        record.next_probe = next_probe_time(record.probes_failed, ctx.now, config_.probe_interval);
    }
    update_phase(record, before, ctx);
    refresh(record, ctx);
}

void target_registry::leased(messages::lease_grant const& grant, context& ctx)
{
    auto const is_sibling = [this](instance_description const& it)
    { return it.domain == self_.self.domain; };
    auto const sharing = sharing_among(grant.members, self_.self.id, is_sibling);
    shares_.learn(sharing, ctx.now, grant.valid_for);
    members_ = grant.members;
    std::set<domain_id> const adopted(grant.adopted.begin(), grant.adopted.end());
    for (auto const& it : adopted)
        if (!adopted_.contains(it))
            ctx.events.record(domain_adopted_event, {{"domain", it.value()}});
    adopted_ = adopted;
    refresh_all(ctx);
}

void target_registry::report(messages::renew_request& out, context&)
{
    std::map<domain_id, messages::domain_load> loads;
    for (auto const& [id, it] : records_)
    {
        if (!is_served_here(it->announced.domain))
            continue;
        auto& load = loads[it->announced.domain];
        load.domain = it->announced.domain;
        load.usable += std::max(it->view.limit, it->view.running);
        load.busy += it->view.running;
    }
    for (auto const& [domain, load] : loads)
        out.load.push_back(load);
}

void target_registry::tick(context& ctx)
{
    shares_.expire(ctx.now);
    for (auto& [id, it] : records_)
    {
        check_announcements(*it, ctx);
        probe_if_due(*it, ctx);
    }
    remove_gone(ctx);
    refresh_all(ctx);
    if (ctx.now >= next_relay_at_)
        relay_announcements(ctx);
}

void target_registry::check_announcements(target_record& record, context& ctx)
{
    auto const before = record.life.phase();
    if (ctx.now >= record.silence_deadline)
        record.life.announcements_missed();
    if (ctx.now >= record.expires_at && record.view.running.count() == 0)
        record.life.expired();
    update_phase(record, before, ctx);
}

void target_registry::probe_if_due(target_record& record, context& ctx)
{
    if (!record.failing || ctx.now < record.next_probe ||
        record.life.phase() != target_phase::suspected)
        return;
    // A target that stopped announcing itself cannot serve again after a healthy probe.
    if (ctx.now >= record.silence_deadline)
        return;
    record.next_probe =
        ctx.now + config_.probe_timeout +
        (next_probe_time(record.probes_failed, ctx.now, config_.probe_interval) - ctx.now);
    ctx.counters.add(probes_counter);
    ctx.out.push_back(probe_target{.id = record.view.id,
                                   .where = record.view.where,
                                   .deadline = ctx.now + config_.probe_timeout});
}

void target_registry::remove_gone(context& ctx)
{
    bool removed = false;
    for (auto it = records_.begin(); it != records_.end();)
    {
        if (it->second->life.phase() != target_phase::gone)
        {
            ++it;
            continue;
        }
        ctx.out.push_back(forget_target{it->first});
        it = records_.erase(it);
        removed = true;
    }
    if (removed)
        index_routes();
}

void target_registry::relay_announcements(context& ctx)
{
    next_relay_at_ = ctx.now + config_.relay_interval;
    messages::target_relay out;
    out.leased = services_.require<fleet_view>().lease_live(ctx.now);
    for (auto const& [id, it] : pending_relay_)
        out.heard.push_back(it);
    pending_relay_.clear();
    for (auto const& member : region_members(ctx))
        ctx.send(member, out);
}

std::vector<instance_id> target_registry::region_members(context& ctx) const
{
    std::vector<instance_id> out;
    for (auto const& it : services_.require<fleet_view>().members())
        if (it.where.region == self_.self.region && it.where.id != ctx.self.self.id)
            out.push_back(it.where.id);
    return out;
}

void target_registry::update_phase(target_record& record, target_phase before, context& ctx)
{
    auto const now = record.life.phase();
    record.view.phase = now;
    if (now == before)
        return;
    ctx.events.record(phase_changed_event, {{"target", record.view.id.value()},
                                            {"from", std::string(to_string(before))},
                                            {"to", std::string(to_string(now))}});
    if (now == target_phase::leaving && record.view.running.count() == 0)
        ctx.out.push_back(forget_target{record.view.id});
}

bool target_registry::is_served_here(domain_id const& domain) const
{
    return domain == self_.self.domain || adopted_.contains(domain);
}

bool target_registry::defers_to_sibling(context& ctx)
{
    return ctx.now < sibling_lease_until_ && !services_.require<fleet_view>().lease_live(ctx.now);
}

slots target_registry::slot_share_of(target_record const& record) const
{
    return slots(
        shares_.part_of(record.announced.capacity.count(), remainder_salt(record.view.id)));
}

void target_registry::refresh(target_record& record, context& ctx)
{
    auto const salt = remainder_salt(record.view.id);
    auto const connection_share = shares_.part_of(record.announced.most_connections.count(), salt);
    record.view.most_connections = connections(connection_share);
    record.view.latency = record.observed.latency(ctx.now);
    if (record.view.phase != target_phase::serving || !is_served_here(record.announced.domain) ||
        defers_to_sibling(ctx))
    {
        record.view.limit = slots(0);
        return;
    }
    auto const full_share = slot_share_of(record);
    auto const ramp_limit = ramped_slots(full_share, ctx.now, record.ramp_ends_at, config_.ramp);
    record.view.limit = record.observed.window(ramp_limit, ctx.now);
    check_invariant(record.view.limit <= full_share,
                    "a target's limit does not exceed this instance's share");
}

void target_registry::refresh_all(context& ctx)
{
    std::uint64_t serving = 0;
    for (auto& [id, it] : records_)
    {
        refresh(*it, ctx);
        serving += it->view.phase == target_phase::serving ? 1 : 0;
    }
    ctx.counters.set(known_counter, records_.size());
    ctx.counters.set(serving_counter, serving);
}

std::vector<target_view const*> target_registry::usable(route_id const& route,
                                                        version_id const& version) const
{
    std::vector<target_view const*> out;
    auto const found = by_route_.find(route);
    if (found == by_route_.end())
        return out;
    for (auto const* const it : found->second)
        if (it->view.limit.count() > 0 && matches(*it, version))
            out.push_back(&it->view);
    return out;
}

bool target_registry::is_known(route_id const& route, version_id const& version) const
{
    auto const found = by_route_.find(route);
    if (found == by_route_.end())
        return false;
    auto const usable_later = [&](target_record const* it)
    {
        return it->view.phase != target_phase::leaving && is_served_here(it->announced.domain) &&
               matches(*it, version);
    };
    return std::any_of(found->second.begin(), found->second.end(), usable_later);
}

bool target_registry::has_free_slot(route_id const& route, version_id const& version) const
{
    auto const found = by_route_.find(route);
    if (found == by_route_.end())
        return false;
    auto const is_free = [&](target_record const* it)
    { return it->view.has_free_slot() && matches(*it, version); };
    return std::any_of(found->second.begin(), found->second.end(), is_free);
}

std::vector<target_view const*> target_registry::all() const
{
    std::vector<target_view const*> out;
    for (auto const& [id, it] : records_)
        out.push_back(&it->view);
    return out;
}

namespace
{

stage_registrar<target_registry> const entered{"targets", stage_order::targets};

} // namespace

} // namespace mulberryrudder::entry
