#include "lease_stage.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace mulberryrudder::entry
{

kernel::section<lease_settings> const lease_section{
    "lease",
    {
        kernel::field("renew_period", &lease_settings::renew_period, {100, 10'000},
                      "Milliseconds between two renewals that are answered."),
        kernel::field("retry_first", &lease_settings::retry_first, {10, 10'000},
                      "Milliseconds to wait for the first renewal's answer; each failure doubles "
                      "it."),
        kernel::field("retry_most", &lease_settings::retry_most, {10, 60'000},
                      "Most milliseconds to wait for an answer before the next try."),
        kernel::field("clock_drift", &lease_settings::clock_drift, {0, 500},
                      "Thousandths by which the lease is counted shorter, against clocks that run "
                      "at different speeds."),
    }};

namespace
{

stage_registrar<lease_stage> const entered{"lease", stage_order::lease};

refusal_kind const
    lease_lapsed({.name = "lease_lapsed",
                  .counter_name = "refused.lease_lapsed",
                  .status = 503,
                  .meaning = "The instance holds no live lease, so it may not act for customers; "
                             "another instance may."});

kernel::counter_kind const renewals_sent("lease.renewals_sent", "Renewals of the lease sent.");
kernel::counter_kind const grants_accepted("lease.grants_accepted", "Grants that took effect.");
kernel::counter_kind const grants_stale("lease.grants_stale",
                                        "Grants ignored: answered too late, twice or out of turn.");
kernel::counter_kind const grants_lower_term("lease.grants_lower_term",
                                             "Grants ignored: of a former leader.");
kernel::counter_kind const grants_without_config("lease.grants_without_config",
                                                 "Grants ignored: their configuration is not held "
                                                 "and did not come with them.");
kernel::counter_kind const redirects("lease.redirects", "Renewals sent on to another instance.");
kernel::counter_kind const pushes_taken("lease.pushes_taken", "Configurations taken by push.");
kernel::counter_kind const pushes_relayed("lease.pushes_relayed",
                                          "Pushes passed on to an instance of the same domain.");

kernel::event_kind const
    event_gained({.number = 100,
                  .name = "lease.gained",
                  .level = kernel::severity::info,
                  .meaning = "The instance got its first lease and acts for customers.",
                  .action = "None."});
kernel::event_kind const
    event_lost({.number = 101,
                .name = "lease.lost",
                .level = kernel::severity::warning,
                .meaning = "The lease ended without a renewal: keyed requests are refused.",
                .action = "Check that a control instance leads and can be reached from here."});
kernel::event_kind const event_regained({.number = 102,
                                         .name = "lease.regained",
                                         .level = kernel::severity::info,
                                         .meaning = "The instance holds a lease again.",
                                         .action = "None."});
kernel::event_kind const event_config({.number = 103,
                                       .name = "lease.config_in_force",
                                       .level = kernel::severity::info,
                                       .meaning = "A newer configuration is in force here.",
                                       .action = "None."});

/// Renewals whose answers may still come in time, at the shortest retry wait.
constexpr std::size_t most_remembered = 64;

std::array const handlers{on_message<&lease_stage::granted>(),
                          on_message<&lease_stage::refused_by>(),
                          on_message<&lease_stage::pushed>()};

/// Returns whom to ask; a lone entry without control instances asks itself in vain.
std::vector<instance_id> control_of(identity const& self)
{
    return self.control.empty() ? std::vector{self.self.id} : self.control;
}

} // namespace

lease_stage::lease_stage(stage_parts const& parts)
    : settings_(parts.config.get(lease_section)), plan_({.control = control_of(parts.self),
                                                         .period = settings_.renew_period,
                                                         .retry_first = settings_.retry_first,
                                                         .retry_most = settings_.retry_most}),
      cycle_(boost::ref(static_cast<lease_observer&>(*this)))
{
    cycle_.start();
    parts.services.provide<fleet_view>(*this);
}

step lease_stage::authorise(request const& what, context const& with) const
{
    auto const route = config().routes.find(what.route);
    bool const known = route != config().routes.end();
    if (known && route->second.open)
        return proceed{};
    return lease_live(with.now) ? step{proceed{}} : refuse(lease_lapsed);
}

step lease_stage::admit(request& what, context& with)
{
    return authorise(what, with);
}

step lease_stage::recheck(request const& what, context& with)
{
    return authorise(what, with);
}

void lease_stage::received(envelope const& it, context& with)
{
    dispatch(*this, handlers, it, with);
}

lease_stage::sent_renewal const* lease_stage::find_sent(sequence_id which) const
{
    auto const same = [which](sent_renewal const& it) { return it.sequence == which; };
    auto const it = std::find_if(sent_.begin(), sent_.end(), same);
    return it == sent_.end() ? nullptr : &*it;
}

bool lease_stage::answers_present_state(messages::lease_grant const& it, instant now) const
{
    auto const* const sent = find_sent(it.sequence);
    if (sent == nullptr || it.sequence <= accepted_)
        return false;
    // A report from before a lapse told of slices that may be others' by now.
    if (now >= deadline_ && sent->when < deadline_)
        return false;
    // A new leader knows only what the report said; the former one may have learned
    // since then that this instance holds less.
    return it.term == term_ || sent->accepted == accepted_;
}

bool lease_stage::acceptable(messages::lease_grant const& it, context& with)
{
    if (it.term < term_)
    {
        with.counters.add(grants_lower_term);
        return false;
    }
    if (!answers_present_state(it, with.now) || it.generation < config_.generation())
    {
        with.counters.add(grants_stale);
        return false;
    }
    return true;
}

void lease_stage::granted(instance_id from, messages::lease_grant const& it, context& with)
{
    if (!acceptable(it, with))
        return;
    plan_.answered(from, with.random);
    auto const before = config_.generation();
    config_.take(it.config, it.delta);
    if (config_.generation() != before)
        with.events.record(event_config,
                           {{"generation", std::to_string(config_.generation().value())}});
    if (config_.generation() < it.generation)
    {
        with.counters.add(grants_without_config);
        return;
    }
    // The margin covers a clock here that runs slower than the leader's.
    auto const margin = it.valid_for * settings_.clock_drift.count() / whole_share.count();
    auto const deadline = find_sent(it.sequence)->when + it.valid_for - margin;
    if (deadline <= with.now)
    {
        with.counters.add(grants_stale);
        return;
    }
    accept(from, it, deadline, with);
}

void lease_stage::accept(instance_id, messages::lease_grant const& it, instant deadline,
                         context& with)
{
    deciding_ = &with;
    note_deadline(with.now);
    term_ = it.term;
    accepted_ = it.sequence;
    deadline_ = deadline;
    adopted_ = it.adopted;
    while (!sent_.empty() && sent_.front().sequence <= accepted_)
        sent_.pop_front();
    for (auto const& where : members_.take(it))
        if (where.id != with.self.self.id)
            with.out.push_back(learn_instance{.id = where.id, .peer = where.peer});
    with.counters.add(grants_accepted);
    cycle_.process_event(grant_accepted{});
    deciding_ = nullptr;
    publish(it, with);
}

void lease_stage::publish(messages::lease_grant it, context& with)
{
    it.config = config_.share();
    it.delta = nullptr;
    it.members = members_.list();
    with.flow.publish_lease(it);
}

void lease_stage::refused_by(instance_id from, messages::not_leader const& it, context& with)
{
    if (from != plan_.whom() || it.sequence != sequence_ || it.sequence <= accepted_)
        return;
    with.counters.add(redirects);
    plan_.redirected(it.leader, with.now, with.random);
}

void lease_stage::pushed(instance_id, messages::config_push const& it, context& with)
{
    if (it.term < term_)
        return;
    auto const before = config_.generation();
    config_.take(it.config, it.delta);
    if (config_.generation() != before)
    {
        with.counters.add(pushes_taken);
        with.events.record(event_config,
                           {{"generation", std::to_string(config_.generation().value())}});
    }
    if (it.relay)
        relay(it, with);
}

void lease_stage::relay(messages::config_push const& it, context& with) const
{
    auto passed = it;
    passed.relay = false;
    auto const& self = with.self.self;
    for (auto const& member : members())
    {
        if (!member.live || member.where.domain != self.domain || member.where.id == self.id)
            continue;
        with.counters.add(pushes_relayed);
        with.send(member.where.id, passed);
    }
}

void lease_stage::stopping(context& with)
{
    stopping_ = true;
    plan_.hasten(with.now);
}

void lease_stage::note_deadline(instant now)
{
    if (now >= deadline_)
        cycle_.process_event(deadline_passed{});
}

void lease_stage::tick(context& with)
{
    deciding_ = &with;
    note_deadline(with.now);
    deciding_ = nullptr;
    if (!started_)
    {
        started_ = true;
        plan_.start(with.now, with.random);
    }
    if (plan_.due(with.now))
        renew(with);
}

void lease_stage::renew(context& with)
{
    plan_.turn_if_unanswered();
    sequence_ = sequence_id(sequence_.value() + 1);
    sent_.push_back({.sequence = sequence_, .when = with.now, .accepted = accepted_});
    if (sent_.size() > most_remembered)
        sent_.pop_front();
    messages::renew_request out{.sequence = sequence_,
                                .boot = with.self.boot,
                                .highest_term = term_,
                                .held = config_.generation(),
                                .self = with.self.self,
                                .stopping = stopping_,
                                .accepted = accepted_,
                                .members = members_.version(),
                                .adopted = adopted_};
    with.flow.collect_report(out);
    with.counters.add(renewals_sent);
    with.send(plan_.whom(), std::move(out));
    plan_.sent(with.now, with.random);
}

void lease_stage::lease_gained()
{
    deciding_->events.record(event_gained, {});
}

void lease_stage::lease_lost()
{
    deciding_->events.record(event_lost, {});
}

void lease_stage::lease_regained()
{
    deciding_->events.record(event_regained, {});
}

} // namespace mulberryrudder::entry
