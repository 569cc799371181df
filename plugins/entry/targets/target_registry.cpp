#include "target_registry.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

kernel::counter_kind const targets_known("targets.known", "Targets that are known now.");
kernel::counter_kind const targets_serving("targets.serving", "Targets that may get work now.");
kernel::counter_kind const probes_sent("targets.probes", "Probes sent to failing targets.");
kernel::counter_kind const announcements_heard("targets.announcements",
                                               "Announcements that targets made to this instance.");
kernel::counter_kind const sheds_heard("targets.sheds",
                                       "Replies by which a target declined a request.");

kernel::event_kind const
    target_changed({.number = 200,
                    .name = "target.phase_changed",
                    .level = kernel::severity::info,
                    .meaning = "A target has entered another phase of its life.",
                    .action = "None; a target that is often suspected needs a look."});

kernel::event_kind const
    domain_adopted({.number = 201,
                    .name = "target.domain_adopted",
                    .level = kernel::severity::warning,
                    .meaning = "This instance takes over the targets of another failure domain.",
                    .action = "Bring the entry instances of that failure domain back."});

/// How long after its start a registry takes each target as one that is warm already.
constexpr seconds learning_span{2};

/// How long a sibling's word that it holds a lease counts.
constexpr seconds sibling_memory{2};

std::string_view to_string(target_phase phase)
{
    static constexpr std::array<std::string_view, 5> names{"starting", "serving", "suspected",
                                                           "leaving", "gone"};
    return names.at(static_cast<std::size_t>(phase));
}

bool matches(target_record const& it, version_id const& version)
{
    return version.value().empty() || it.view.version == version;
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
    check_invariant(view.running <= view.limit, "a target runs no more than its slots");
}

void target_registry::attempt_ended(request const&, attempt const& sent, attempt_end const& how,
                                    context& with)
{
    using note =
        void (target_registry::*)(target_record&, attempt const&, attempt_end const&, context&);
    static constexpr std::array<note, 8> notes{
        &target_registry::note_refused, // connect_refused
        &target_registry::note_refused, // connect_timeout
        &target_registry::note_failure, // closed
        &target_registry::note_failure, // timeout
        &target_registry::note_failure, // malformed
        &target_registry::note_shed,    // shed
        &target_registry::note_refused, // misdirected
        &target_registry::note_nothing, // cancelled
    };
    auto const found = records_.find(sent.target.id);
    if (found == records_.end())
        return;
    auto& it = *found->second;
    it.view.running -= slots(1);
    check_invariant(it.view.running.count() >= 0, "a target's running requests are not negative");
    auto const before = it.life.phase();
    auto const call =
        how.failed ? notes.at(static_cast<std::size_t>(*how.failed)) : &target_registry::note_reply;
    (this->*call)(it, sent, how, with);
    note_phase(it, before, with);
    refresh(it, with);
}

void target_registry::note_reply(target_record& it, attempt const& sent, attempt_end const& how,
                                 context& with)
{
    it.seen.replied(std::chrono::duration_cast<microseconds>(with.now - sent.started), with.now);
    if (how.load)
        it.view.reported = how.load;
}

void target_registry::note_failure(target_record& it, attempt const&, attempt_end const&,
                                   context& with)
{
    if (it.seen.failed() < config_.failures_to_suspect)
        return;
    it.failing = true;
    it.next_probe = next_probe_after(it.probes_failed, with.now, config_.probe_interval);
    it.life.failed();
}

void target_registry::note_refused(target_record& it, attempt const&, attempt_end const&,
                                   context& with)
{
    it.seen.failed();
    it.failing = true;
    it.next_probe = next_probe_after(it.probes_failed, with.now, config_.probe_interval);
    it.life.failed();
}

void target_registry::note_shed(target_record& it, attempt const&, attempt_end const&,
                                context& with)
{
    with.counters.add(sheds_heard);
    it.seen.shed(it.view.running, with.now, config_.shed_pause);
}

void target_registry::note_nothing(target_record&, attempt const&, attempt_end const&, context&) {}

void target_registry::announced(announcement const& it, context& with)
{
    with.counters.add(announcements_heard);
    learn(it, with);
    unsent_.insert_or_assign(it.id, it);
    if (it.state == target_state::leaving)
        pass_on(with);
}

void target_registry::received(envelope const& it, context& with)
{
    static auto const table = std::array{on_message<&target_registry::relayed>()};
    dispatch(*this, table, it, with);
}

void target_registry::relayed(instance_id from, messages::target_relay const& it, context& with)
{
    auto const sender = [from](messages::member const& m) { return m.where.id == from; };
    auto const found = std::find_if(members_.begin(), members_.end(), sender);
    bool const sibling = found != members_.end() && found->where.domain == self_.self.domain;
    if (it.leased && sibling)
        sibling_leased_until_ = with.now + sibling_memory;
    for (auto const& heard : it.heard)
        learn(heard, with);
}

void target_registry::learn(announcement const& it, context& with)
{
    first_heard_at_ = std::min(first_heard_at_, with.now);
    auto& record = record_of(it, with);
    auto const before = record.life.phase();
    bool const moved = record.said.routes != it.routes;
    record.said = it;
    record.view.where = it.where;
    record.view.version = it.version;
    if (it.load)
        record.view.reported = it.load;
    record.silent_at = with.now + config_.silence_timeout;
    record.forgotten_at = with.now + config_.forget_after;
    if (it.state == target_state::starting)
    {
        record.warm_at = with.now + config_.ramp;
        record.failing = false;
    }
    record.life.says(it.state);
    if (!record.failing)
        record.life.recovered();
    if (moved)
        index_routes();
    note_phase(record, before, with);
    refresh(record, with);
}

target_record& target_registry::record_of(announcement const& it, context& with)
{
    auto const found = records_.find(it.id);
    if (found != records_.end())
        return *found->second;
    auto made = std::make_unique<target_record>();
    made->said = it;
    made->view.id = it.id;
    bool const is_new = with.now > first_heard_at_ + learning_span;
    made->warm_at = is_new ? with.now + config_.ramp : with.now;
    auto& out = *records_.emplace(it.id, std::move(made)).first->second;
    index_routes();
    return out;
}

void target_registry::index_routes()
{
    by_route_.clear();
    for (auto const& [id, it] : records_)
        for (auto const& route : it->said.routes)
            by_route_[route].push_back(it.get());
}

void target_registry::probed(probe_ended const& it, context& with)
{
    auto const found = records_.find(it.id);
    if (found == records_.end())
        return;
    auto& record = *found->second;
    auto const before = record.life.phase();
    if (it.healthy)
    {
        record.failing = false;
        record.probes_failed = 0;
        record.next_probe = never;
        record.life.recovered();
    }
    else
    {
        ++record.probes_failed;
        record.next_probe =
            next_probe_after(record.probes_failed, with.now, config_.probe_interval);
    }
    note_phase(record, before, with);
    refresh(record, with);
}

void target_registry::leased(messages::lease_grant const& grant, context& with)
{
    auto const is_sibling = [this](instance_description const& it)
    { return it.domain == self_.self.domain; };
    auto const sharing = sharing_among(grant.members, self_.self.id, is_sibling);
    shares_.learn(sharing, with.now, grant.valid_for);
    members_ = grant.members;
    std::set<domain_id> const adopted(grant.adopted.begin(), grant.adopted.end());
    for (auto const& it : adopted)
        if (!adopted_.contains(it))
            with.events.record(domain_adopted, {{"domain", it.value()}});
    adopted_ = adopted;
    refresh_all(with);
}

void target_registry::report(messages::renew_request& out, context&)
{
    std::map<domain_id, messages::domain_load> loads;
    for (auto const& [id, it] : records_)
    {
        if (!is_ours(it->said.domain))
            continue;
        auto& load = loads[it->said.domain];
        load.domain = it->said.domain;
        load.usable += std::max(it->view.limit, it->view.running);
        load.busy += it->view.running;
    }
    for (auto const& [domain, load] : loads)
        out.load.push_back(load);
}

void target_registry::tick(context& with)
{
    shares_.expire(with.now);
    for (auto& [id, it] : records_)
    {
        note_silence(*it, with);
        probe_if_due(*it, with);
    }
    drop_gone(with);
    refresh_all(with);
    if (with.now >= relay_at_)
        pass_on(with);
}

void target_registry::note_silence(target_record& it, context& with)
{
    auto const before = it.life.phase();
    if (with.now >= it.silent_at)
        it.life.went_silent();
    if (with.now >= it.forgotten_at && it.view.running.count() == 0)
        it.life.forgotten();
    note_phase(it, before, with);
}

void target_registry::probe_if_due(target_record& it, context& with)
{
    if (!it.failing || with.now < it.next_probe || it.life.phase() != target_phase::suspected)
        return;
    // Without new announcements there is nothing to come back to.
    if (with.now >= it.silent_at)
        return;
    it.next_probe =
        with.now + config_.probe_timeout +
        (next_probe_after(it.probes_failed, with.now, config_.probe_interval) - with.now);
    with.counters.add(probes_sent);
    with.out.push_back(probe_target{
        .id = it.view.id, .where = it.view.where, .deadline = with.now + config_.probe_timeout});
}

void target_registry::drop_gone(context& with)
{
    bool dropped = false;
    for (auto it = records_.begin(); it != records_.end();)
    {
        if (it->second->life.phase() != target_phase::gone)
        {
            ++it;
            continue;
        }
        with.out.push_back(forget_target{it->first});
        it = records_.erase(it);
        dropped = true;
    }
    if (dropped)
        index_routes();
}

void target_registry::pass_on(context& with)
{
    relay_at_ = with.now + config_.relay_interval;
    messages::target_relay out;
    out.leased = services_.require<fleet_view>().lease_live(with.now);
    for (auto const& [id, it] : unsent_)
        out.heard.push_back(it);
    unsent_.clear();
    for (auto const& to : neighbours(with))
        with.send(to, out);
}

std::vector<instance_id> target_registry::neighbours(context& with) const
{
    std::vector<instance_id> out;
    for (auto const& it : services_.require<fleet_view>().members())
        if (it.where.region == self_.self.region && it.where.id != with.self.self.id)
            out.push_back(it.where.id);
    return out;
}

void target_registry::note_phase(target_record& it, target_phase before, context& with)
{
    auto const now = it.life.phase();
    it.view.phase = now;
    if (now == before)
        return;
    with.events.record(target_changed, {{"target", it.view.id.value()},
                                        {"from", std::string(to_string(before))},
                                        {"to", std::string(to_string(now))}});
    if (now == target_phase::leaving && it.view.running.count() == 0)
        with.out.push_back(forget_target{it.view.id});
}

bool target_registry::is_ours(domain_id const& domain) const
{
    return domain == self_.self.domain || adopted_.contains(domain);
}

bool target_registry::yields(context& with)
{
    return with.now < sibling_leased_until_ &&
           !services_.require<fleet_view>().lease_live(with.now);
}

slots target_registry::part_of(target_record const& it) const
{
    return slots(shares_.part_of(it.said.capacity.count(), salt_of(it.view.id)));
}

void target_registry::refresh(target_record& it, context& with)
{
    auto const salt = salt_of(it.view.id);
    auto const part = shares_.part_of(it.said.most_connections.count(), salt);
    it.view.most_connections = connections(part);
    it.view.latency = it.seen.latency(with.now);
    if (it.view.phase != target_phase::serving || !is_ours(it.said.domain) || yields(with))
    {
        it.view.limit = slots(0);
        return;
    }
    auto const whole = part_of(it);
    auto const warm = ramped(whole, with.now, it.warm_at, config_.ramp);
    it.view.limit = it.seen.window(warm, with.now);
    check_invariant(it.view.limit <= whole, "a target's limit is within this instance's part");
}

void target_registry::refresh_all(context& with)
{
    std::uint64_t serving = 0;
    for (auto& [id, it] : records_)
    {
        refresh(*it, with);
        serving += it->view.phase == target_phase::serving ? 1 : 0;
    }
    with.counters.set(targets_known, records_.size());
    with.counters.set(targets_serving, serving);
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
        return it->view.phase != target_phase::leaving && is_ours(it->said.domain) &&
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
