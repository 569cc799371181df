#include "leases.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace mulberryrudder::control
{

kernel::section<leases_settings> const leases_section{
    "leases",
    {
        kernel::field("lease", &leases_settings::lease, {500, 60'000},
                      "Milliseconds for which a grant is valid; the same on each control "
                      "instance."),
        kernel::field("clock_drift", &leases_settings::clock_drift, {0, 500},
                      "Thousandths by which a grant is counted longer here, against clocks that "
                      "run at different speeds."),
        kernel::field("member_retention", &leases_settings::member_retention, {1000, 86'400'000},
                      "Milliseconds for which an entry without a lease stays listed."),
        kernel::field("config_history", &leases_settings::config_history, {1, 10'000},
                      "Configurations from which an entry can be led on by a delta."),
    }};

namespace
{

component_registrar<leases> const entered{"leases", component_order::leases};

kernel::counter_kind const grants_sent("leases.grants_sent", "Leases granted.");
kernel::counter_kind const not_leader_sent("leases.not_leader",
                                           "Renewals refused since this replica may not act.");
kernel::counter_kind const renewals_stale("leases.renewals_stale",
                                          "Renewals ignored: late, twice or of an older start.");
kernel::counter_kind const configs_whole("leases.configs_whole",
                                         "Grants that carried the whole configuration.");
kernel::counter_kind const configs_delta("leases.configs_delta", "Grants that carried a delta.");
kernel::counter_kind const pushes_sent("leases.pushes_sent",
                                       "Configurations pushed to a relay of a domain.");

kernel::event_kind const event_lapsed({.number = 650,
                                       .name = "leases.entry_lapsed",
                                       .level = kernel::severity::warning,
                                       .meaning = "An entry's lease ended without a renewal.",
                                       .action = "Check the instance and its network."});
kernel::event_kind const event_joined({.number = 651,
                                       .name = "leases.entry_live",
                                       .level = kernel::severity::info,
                                       .meaning = "An entry holds a lease.",
                                       .action = "None."});
kernel::event_kind const event_pushed({.number = 652,
                                       .name = "leases.config_pushed",
                                       .level = kernel::severity::info,
                                       .meaning = "A new configuration was sent to the entries.",
                                       .action = "None."});

std::array const handlers{on<&leases::renewed>()};

/// Returns when the last of the grants made until `now` has ended by every clock.
instant end_of_grants(instant now, leases_settings const& with)
{
    span const lease = with.lease;
    return now + lease + lease * with.clock_drift.count() / whole_share.count();
}

} // namespace

leases::leases(component_parts const& parts)
    : settings_(parts.config.get(leases_section)), services_(parts.services),
      history_(static_cast<std::size_t>(settings_.config_history))
{
}

void leases::received(envelope const& it, context& with)
{
    dispatch(*this, handlers, it.from, it.body, with);
}

void leases::refuse(instance_id to, sequence_id sequence, context& with) const
{
    with.counters.add(not_leader_sent);
    with.send(to, messages::not_leader{
                      .sequence = sequence, .term = log().term(), .leader = log().leader()});
}

bool leases::accept_sequence(messages::renew_request const& it, context& with)
{
    auto& known = sessions_[it.self.id];
    bool const older_start = it.boot < known.boot && with.now < known.until;
    if (older_start || (it.boot == known.boot && it.sequence <= known.last))
    {
        with.counters.add(renewals_stale);
        return false;
    }
    if (it.boot != known.boot)
        for (auto* const part : parts().all())
            part->restarted(it.self.id, with.now);
    if (!(known.where == it.self))
        with.out.push_back(learn_instance{.id = it.self.id, .peer = it.self.peer});
    known.where = it.self;
    known.boot = it.boot;
    known.last = it.sequence;
    return true;
}

void leases::renewed(instance_id from, messages::renew_request const& it, context& with)
{
    if (from != it.self.id)
        return;
    if (!log().may_act(with.now))
    {
        // The refusal has to reach an entry that was never heard of.
        with.out.push_back(learn_instance{.id = it.self.id, .peer = it.self.peer});
        return refuse(from, it.sequence, with);
    }
    if (it.highest_term > log().term())
        return refuse(from, it.sequence, with);
    if (accept_sequence(it, with))
        answer(it, with);
}

void leases::add_config(messages::renew_request const& it, messages::lease_grant& out)
{
    auto parcel = history_.from(it.held);
    out.generation = history_.newest()->generation;
    out.config = std::move(parcel.whole);
    out.delta = std::move(parcel.delta);
}

void leases::answer(messages::renew_request const& it, context& with)
{
    check_invariant(with.now < log().confirmed_until(),
                    "a lease is granted only inside the leader's confirmed time");
    push_if_newer(with);
    auto& known = sessions_.at(it.self.id);
    known.until = end_of_grants(with.now, settings_);
    if (live_.insert(it.self.id).second)
        with.events.record(event_joined, {{"instance", std::to_string(it.self.id.value())}});
    members_.set({.where = it.self, .live = true, .stopping = it.stopping});
    note_adoption(it);

    messages::lease_grant out{
        .sequence = it.sequence, .term = log().term(), .valid_for = settings_.lease};
    add_config(it, out);
    if (out.config)
        with.counters.add(configs_whole);
    if (out.delta)
        with.counters.add(configs_delta);
    for (auto* const part : parts().all())
        part->grant(it, known.until, with, out);
    bool const same_term = it.highest_term == log().term();
    members_.add_changes(same_term ? it.members : messages::member_version{}, out);
    add_adopted(it, with, out);
    with.counters.add(grants_sent);
    with.send(it.self.id, std::move(out));
}

void leases::note_adoption(messages::renew_request const& it)
{
    domains_.insert_or_assign(it.self.domain, it.self.region);
    // A former leader gave these away; this one may not have heard of them.
    for (auto const& domain : it.adopted)
        domains_.try_emplace(domain, it.self.region);
}

bool leases::has_live_entry(domain_id const& domain, instant now) const
{
    auto const here = [&](auto const& it)
    { return it.second.where.domain == domain && now < it.second.until; };
    return std::any_of(sessions_.begin(), sessions_.end(), here);
}

std::optional<domain_id> leases::adopter_of(domain_id const& orphan, instant now) const
{
    auto const& region = domains_.at(orphan);
    for (auto const& [domain, at] : domains_)
        if (at == region && domain != orphan && has_live_entry(domain, now))
            return domain;
    return std::nullopt;
}

void leases::add_adopted(messages::renew_request const& it, context& with,
                         messages::lease_grant& out) const
{
    for (auto const& [domain, region] : domains_)
    {
        if (region != it.self.region || domain == it.self.domain ||
            has_live_entry(domain, with.now))
            continue;
        // The entries of a domain that has not yet reported to this leader may still
        // hold the former one's leases, unless this entry had it before.
        bool const had =
            std::find(it.adopted.begin(), it.adopted.end(), domain) != it.adopted.end();
        if (with.now < settled_ && !had)
            continue;
        if (adopter_of(domain, with.now) == it.self.domain)
            out.adopted.push_back(domain);
    }
}

void leases::push(config_history::parcel const& what, context& with)
{
    messages::config_push out{
        .term = log().term(), .config = what.whole, .delta = what.delta, .relay = true};
    std::set<domain_id> reached;
    for (auto const& id : live_)
    {
        if (!reached.insert(sessions_.at(id).where.domain).second)
            continue;
        with.counters.add(pushes_sent);
        with.send(id, out);
    }
    with.events.record(event_pushed,
                       {{"generation", std::to_string(history_.newest()->generation.value())}});
}

void leases::push_if_newer(context& with)
{
    auto const newest = services_.require<fleet_state_view>().config();
    auto const before = history_.newest()->generation;
    if (newest->generation <= before)
        return;
    history_.add(newest);
    if (log().may_act(with.now) && !live_.empty())
        push(history_.from(before), with);
}

void leases::applied(log_entry const&, context& with)
{
    push_if_newer(with);
}

void leases::leading(context& with)
{
    settled_ = end_of_grants(with.now, settings_);
    sessions_.clear();
    live_.clear();
    domains_.clear();
    members_.clear();
    for (auto* const part : parts().all())
        part->lead(with.now, settled_);
}

void leases::following(context&)
{
    sessions_.clear();
    live_.clear();
    for (auto* const part : parts().all())
        part->follow();
}

void leases::end_lapsed(context& with)
{
    for (auto it = live_.begin(); it != live_.end();)
    {
        auto const id = *it;
        auto const& known = sessions_.at(id);
        if (with.now < known.until)
        {
            ++it;
            continue;
        }
        it = live_.erase(it);
        members_.set({.where = known.where, .live = false});
        for (auto* const part : parts().all())
            part->lapsed(id, with.now);
        with.events.record(event_lapsed, {{"instance", std::to_string(id.value())}});
    }
    std::erase_if(sessions_,
                  [&](auto const& it)
                  {
                      if (with.now < it.second.until + span(settings_.member_retention))
                          return false;
                      members_.remove(it.first);
                      return true;
                  });
}

void leases::tick(context& with)
{
    push_if_newer(with);
    end_lapsed(with);
}

} // namespace mulberryrudder::control
