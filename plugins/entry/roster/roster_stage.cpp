#include "control_choice.hpp"
#include "control_search.hpp"
#include "listed_targets.hpp"
#include "plan_currency.hpp"
#include "roster_events.hpp"
#include "roster_settings.hpp"

#include <mulberryrudder/core/message_number.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/fleet/steering_difference.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace mulberryrudder::entry
{

namespace
{

/// Limit of the doublings of the timeout of a first answer.
constexpr int max_doublings = 4;
/// Number of latest reports whose answers are accepted, even after the timeout.
constexpr std::size_t max_pending_reports = 32;
/// Time between two reports that ask for the figures of the fleet, which are much longer than
/// the rest of an answer.
constexpr seconds fleet_interval{1};
/// Limit of the departures that wait to be reported; later ones are left to the targets' own
/// announcements.
constexpr std::size_t max_departures = 1024;

/// Reports to a control instance and receives the plan, the targets and the shares of the
/// rates in its answers.
///
/// Thread safety: as stage.
class roster_stage final : public stage, private plan_view
{
public:
    explicit roster_stage(stage_parts const& parts)
        : config_(parts.config.get(roster_section)), services_(parts.services),
          currency_({.max_age = config_.max_plan_age, .max_round_trip = config_.max_round_trip})
    {
        for (auto const id : parts.self.control)
            control_choice_.add_contact(id);
        parts.services.provide<plan_view>(*this);
    }

    void received(envelope const& message, context& ctx) override
    {
        static std::array const table{on_message<&roster_stage::handle_update>(),
                                      on_message<&roster_stage::handle_probe_reply>()};
        dispatch(*this, table, message, ctx);
    }

    void attempt_ended(request const& req, attempt const& sent, attempt_end const& result,
                       context& ctx) override
    {
        if (result.wishes.leaving)
            record_departure(sent.target.id, ctx);
        record_outcome(req, sent, result, ctx.now);
    }
    void stopping(context& ctx) override
    {
        stopping_ = true;
        send_report(ctx);
    }

    void tick(context& ctx) override
    {
        currency_.tick(ctx.now);
        if (awaited_control_ && ctx.now >= answer_deadline_)
        {
            ctx.events.record(control_unanswered_event,
                              {{"control", std::to_string(awaited_control_->value())}});
            control_choice_.failed(*awaited_control_, ctx.now);
            awaited_control_.reset();
            current_control_.reset();
            ++consecutive_timeouts_;
            next_report_at_ = ctx.now;
            // The next report may find an instance that answers at once.
            begin_search("unanswered", std::nullopt, ctx.now + config_.first_answer_timeout, ctx);
        }
        if (!awaited_control_ && ctx.now >= next_report_at_)
            send_report(ctx);
        if (search_.is_round_due(ctx.now))
            send_probes(ctx);
        accept_unconfirmed_plan(ctx);
        record_outdated_change(ctx);
    }

private:
    /// A position in the sequence of changes of one start of a control instance.
    struct position
    {
        boot_id boot;
        sequence_id known;
    };
    /// A departure to report until a report that contains it is answered.
    struct departure
    {
        messages::departed_target departed;
        std::optional<sequence_id> first_report;
    };
    /// Where a steering state comes from.
    struct state_origin
    {
        instance_id control;
        bool confirmed;
    };
    /// A report that was sent and not answered yet.
    struct report
    {
        instance_id recipient;
        instant sent;
    };

    void record_outcome(request const& req, attempt const& sent, attempt_end const& result,
                        instant now)
    {
        auto const versions = steering_->versions.find(req.service);
        if (versions == steering_->versions.end() ||
            versions->second.phase != rollout_phase::running)
            return;
        if (result.failed == attempt_failure::shed)
            return;
        bool const late = is_late(result, now >= req.deadline);
        bool const reply_broken =
            result.failed == attempt_failure::closed || result.failed == attempt_failure::malformed;
        // A cancellation by the caller or a failed connection attempt says nothing about the
        // version.
        if (result.failed && !late && !reply_broken)
            return;
        auto& out = outcomes_of(req.service, versions->second.next, sent.target.version);
        ++out.answered;
        if (late)
            ++out.late;
        else if (reply_broken)
            ++out.broken;
        else if (result.content->status >= 500)
            ++out.failed;
    }

    /// Stops sending requests to a target that said in an answer that it leaves, and tells control
    /// with the next reports.
    void record_departure(target_id const& id, context& ctx)
    {
        auto const* const notice = listed_.mark_leaving(id);
        if (notice == nullptr)
            return;
        ctx.events.record(target_departed_event,
                          {{"target", id.value()},
                           {"service", notice->service.value()},
                           {"start", std::to_string(notice->start.value())}});
        ctx.out.push_back(forget_target{id});
        if (departures_.size() < max_departures)
            departures_.push_back({.departed = {id, notice->start}, .first_report = {}});
    }

    static bool is_late(attempt_end const& result, bool deadline_passed)
    {
        if (!result.failed)
            return result.content->status == out_of_time_status;
        return result.failed == attempt_failure::timeout ||
               (result.failed == attempt_failure::cancelled && deadline_passed);
    }

    shared_steering const& steering() const override { return active_steering_; }
    std::optional<span> plan_age(instant now) const override { return currency_.age(now); }
    bool is_plan_outdated(instant now) const override
    {
        // Callers may come before they are accepted, from callers/start_limit on.
        return accept_callers_at_ || currency_.is_outdated(now);
    }
    std::map<target_id, listed_target> const& targets() const override { return listed_.all(); }
    std::optional<instance_id> control() const override { return current_control_; }
    std::int64_t entries() const override { return entries_; }
    std::int64_t entries_in_domain() const override { return entries_in_domain_; }
    bool knows_entries() const override { return knows_entries_; }

    /// Returns the outcomes of a version in the rollout of a service to `next`.
    messages::version_outcomes& outcomes_of(service_id const& service, version_id const& next,
                                            version_id const& version)
    {
        auto const same = [&](messages::version_outcomes const& it)
        { return it.service == service && it.rollout == next && it.version == version; };
        auto const found = std::find_if(outcomes_.begin(), outcomes_.end(), same);
        if (found != outcomes_.end())
            return *found;
        return outcomes_.emplace_back(
            messages::version_outcomes{.service = service, .rollout = next, .version = version});
    }

    /// Removes the outcomes of rollouts that do not run any more.
    void discard_outcomes()
    {
        auto const has_ended = [this](messages::version_outcomes const& it)
        {
            auto const found = steering_->versions.find(it.service);
            return found == steering_->versions.end() || found->second.next != it.rollout ||
                   found->second.phase != rollout_phase::running;
        };
        std::erase_if(outcomes_, has_ended);
    }

    void send_report(context& ctx)
    {
        if (auto const recipient =
                control_choice_.best(ctx.self.self, current_control_, ctx.now, ctx.random))
            send_report_to(*recipient, ctx);
    }

    void send_report_to(instance_id recipient, context& ctx)
    {
        ctx.counters.add(reports_counter);
        last_report_ = next_message_number(last_report_, ctx.random);
        messages::roster_poll out{
            .self = {.who = ctx.self.self,
                     .boot = ctx.self.boot,
                     .sequence = last_report_,
                     .ready = active_steering_ != nullptr && !accept_callers_at_ && !stopping_,
                     .outcomes = {}},
            .generation = steering_->generation,
            .known_boot = positions_[recipient].boot,
            .known = positions_[recipient].known,
            .held = std::nullopt,
            .searching = search_.is_active(),
            .wants_fleet = ctx.now >= fleet_due_,
            .takes_difference = takes_difference_};
        // Control answers a report with a summary at once, so that the plan is confirmed sooner.
        if (recipient != current_control_ || currency_.is_slow(ctx.now))
            out.held = listed_.summary(ctx.now);
        if (auto const* const quota = services_.find<quota_view>())
            out.self.part_in_use = quota->part_in_use(ctx.now);
        out.self.outcomes = outcomes_;
        for (auto& it : departures_)
        {
            it.first_report = it.first_report.value_or(last_report_);
            out.departed.push_back(it.departed);
        }
        bool const wants_fleet = out.wants_fleet;
        ctx.send(recipient, std::move(out));
        pending_reports_[last_report_] = {recipient, ctx.now};
        if (pending_reports_.size() > max_pending_reports)
            pending_reports_.erase(pending_reports_.begin());
        awaited_control_ = recipient;
        answer_deadline_ = ctx.now + answer_timeout(recipient == current_control_);
        if (wants_fleet)
            fleet_due_ = answer_deadline_;
        next_report_at_ = ctx.now + config_.min_report_interval;
    }

    /// Returns the timeout of an answer. Only an instance that knows the state of this entry
    /// delays its answer; others answer at once. Their timeout doubles with each missing
    /// answer, for slow networks.
    milliseconds answer_timeout(bool may_be_delayed) const
    {
        if (may_be_delayed)
            return config_.answer_timeout;
        auto const doublings = std::min(consecutive_timeouts_, max_doublings);
        return std::min(config_.first_answer_timeout * (1 << doublings), config_.answer_timeout);
    }

    void handle_update(instance_id sender, messages::roster_update const& update, context& ctx)
    {
        auto const pending = pending_reports_.find(update.poll);
        if (pending == pending_reports_.end() || pending->second.recipient != sender)
            return;
        plan_currency::answer answer{.sent = pending->second.sent,
                                     .held = update.held_for,
                                     .confirmed_age = update.confirmed_age,
                                     .control_restarted = update.connected && !update.current &&
                                                          !update.confirmed_age,
                                     .control_apart = !update.connected};
        pending_reports_.erase(pending);
        std::erase_if(departures_, [&](departure const& it)
                      { return it.first_report && *it.first_report <= update.poll; });
        bool const late = sender != awaited_control_ || update.poll != last_report_;
        if (late)
            record_late_answer(sender, update, answer.sent, ctx);
        positions_[sender] = {update.boot, update.newest};
        bool const attaches = !late || (!current_control_ && update.connected);
        if (attaches)
            attach(sender, ctx);
        apply_update(sender, update, ctx);
        // A difference that did not fit leaves an older state than the confirmed one.
        if (generation_of(update) > steering_->generation)
            answer.confirmed_age.reset();
        ctx.counters.observe(round_trips, answer.round_trip(ctx.now));
        bool const was_in_doubt = currency_.doubts_restart();
        currency_.record(answer, ctx.now);
        if (currency_.doubts_restart() != was_in_doubt)
            record_doubt_change(sender, update, ctx);
        record_outdated_change(ctx);
        if (currency_.awaits_leader(ctx.now))
            await_confirmation(ctx.now);
        // A late answer tells what held when it was sent.
        bool const confirms = update.connected && update.current && is_recent(answer, ctx.now);
        if (confirms && generation_of(update) <= steering_->generation)
            accept_callers_once(ctx);
        if (!attaches)
            return;
        if (!update.connected)
            detach(sender, ctx);
        if (update.connected && confirms)
            end_search(sender, ctx);
        else if (!update.connected || !update.current)
            begin_search(update.connected ? "unconfirmed" : "apart", update.confirmed_age, ctx.now,
                         ctx);
    }

    /// Returns the generation of the state in an update; the lowest without one.
    static generation_id generation_of(messages::roster_update const& update)
    {
        if (update.steering)
            return update.steering->generation;
        return update.difference ? update.difference->generation : generation_id();
    }

    bool is_recent(plan_currency::answer const& answer, instant now) const
    {
        return answer.confirmed_at().value_or(answer.sent) + config_.max_plan_age >= now;
    }

    void record_outdated_change(context& ctx)
    {
        bool const outdated = currency_.is_outdated(ctx.now);
        if (std::exchange(was_outdated_, outdated) == outdated)
            return;
        auto const age = currency_.age(ctx.now);
        auto const age_ms = age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1;
        ctx.events.record(plan_outdated_event, {{"outdated", outdated ? "true" : "false"},
                                                {"age_ms", std::to_string(age_ms)}});
    }

    void record_doubt_change(instance_id sender, messages::roster_update const& update,
                             context& ctx)
    {
        auto const age_ms = update.confirmed_age ? update.confirmed_age->count() : -1;
        ctx.events.record(plan_doubted_event,
                          {{"doubted", currency_.doubts_restart() ? "true" : "false"},
                           {"control", std::to_string(sender.value())},
                           {"connected", update.connected ? "true" : "false"},
                           {"confirmed_age_ms", std::to_string(age_ms)}});
    }

    void begin_search(std::string const& reason, std::optional<milliseconds> age,
                      instant first_round, context& ctx)
    {
        if (search_.begin(first_round))
            ctx.events.record(
                search_begun_event,
                {{"reason", reason}, {"age_ms", std::to_string(age ? age->count() : -1)}});
    }

    void end_search(instance_id control, context& ctx)
    {
        if (search_.end())
            ctx.events.record(search_ended_event, {{"control", std::to_string(control.value())}});
    }

    void send_probes(context& ctx)
    {
        last_probe_ = next_message_number(last_probe_, ctx.random);
        search_.start_round(last_probe_, ctx.now);
        for (auto const id : control_choice_.all())
            ctx.send(id, messages::roster_probe{
                             .who = ctx.self.self, .boot = ctx.self.boot, .number = last_probe_});
    }

    void handle_probe_reply(instance_id sender, messages::roster_probe_reply const& reply,
                            context& ctx)
    {
        if (reply.connected)
            currency_.record_heard(ctx.now);
        bool const is_reliable = reply.connected && reply.current;
        bool const is_newer = reply.generation > steering_->generation;
        bool const is_attached = sender == current_control_;
        // The current instance sends a newer state with its answer to the last report.
        if (!search_.awaits(reply.number) || !(is_reliable || (is_newer && !is_attached)))
            return;
        if (is_reliable)
        {
            search_.choose(ctx.now);
            control_choice_.prefer(sender, ctx.now);
        }
        // Instances that are only newer leave the choice open, and one of them is asked in a
        // round, since each would send the same state.
        else if (std::exchange(newest_fetch_, reply.number) == reply.number)
            return;
        if (is_attached)
            return;
        ctx.events.record(control_chosen_event,
                          {{"control", std::to_string(sender.value())},
                           {"generation", std::to_string(reply.generation.value())},
                           {"current", reply.current ? "true" : "false"}});
        if (current_control_)
            control_choice_.failed(*current_control_, ctx.now);
        send_report_to(sender, ctx);
    }

    static void record_late_answer(instance_id sender, messages::roster_update const& update,
                                   instant sent, context& ctx)
    {
        auto const elapsed = std::chrono::duration_cast<milliseconds>(ctx.now - sent);
        ctx.events.record(late_answer_event, {{"control", std::to_string(sender.value())},
                                              {"took_ms", std::to_string(elapsed.count())},
                                              {"targets", std::to_string(update.targets.size())}});
    }

    /// Applies the contents of an answer. They carry their own sequence numbers, so answers
    /// may arrive late and from several control instances.
    void apply_update(instance_id sender, messages::roster_update const& update, context& ctx)
    {
        if (update.has_fleet)
            for (auto const& each : control_choice_.update_group(
                     update.control, update.connected ? control_choice::naming::most
                                                      : control_choice::naming::some))
                ctx.out.push_back(learn_instance{.id = each.id, .peer = each.peer});
        for (auto const& changed : listed_.update(update.targets, ctx.now))
            publish_change(changed, ctx);
        if (update.steering && update.steering->generation > steering_->generation)
            apply_steering(update.steering, {sender, update.current}, ctx);
        else if (update.difference && update.difference->base == steering_->generation)
            apply_difference(*update.difference, {sender, update.current}, ctx);
        if (update.confirmed_age)
            ctx.counters.observe(confirmation_age, *update.confirmed_age);
        if (!update.has_fleet || update.poll < newest_answered_)
            return;
        fleet_due_ = ctx.now + fleet_interval;
        newest_answered_ = update.poll;
        if (knows_entries_ && update.entries_incomplete)
            return;
        knows_entries_ = !update.entries_incomplete;
        // An instance that misses most of the others misses entries, too. Each entry's part of the
        // rates must not grow because of that.
        entries_ = std::max<std::int64_t>(update.entries, update.connected ? 1 : entries_);
        entries_in_domain_ = std::max<std::int64_t>(update.entries_in_domain, 1);
    }

    /// Makes a control instance the current one, which receives the next reports.
    void attach(instance_id control, context& ctx)
    {
        awaited_control_.reset();
        consecutive_timeouts_ = 0;
        control_choice_.answered(control);
        if (current_control_ != control)
            ctx.events.record(control_answered_event,
                              {{"control", std::to_string(control.value())}});
        current_control_ = control;
    }

    /// Sends the next report to another control instance, since this one may miss decisions of
    /// the others.
    void detach(instance_id control, context& ctx)
    {
        ctx.events.record(control_disconnected_event,
                          {{"control", std::to_string(control.value())}});
        control_choice_.failed(control, ctx.now);
        awaited_control_.reset();
        current_control_.reset();
        next_report_at_ = ctx.now + config_.disconnected_retry_delay;
    }

    /// Applies a difference from the state that this instance holds. One that does not fit is
    /// ignored, and the next report asks for the whole state.
    void apply_difference(messages::steering_difference const& difference, state_origin origin,
                          context& ctx)
    {
        takes_difference_ = false;
        if (auto changed = fleet::changed(*steering_, difference))
            apply_steering(std::make_shared<steering_state const>(std::move(*changed)), origin,
                           ctx);
    }

    void apply_steering(shared_steering const& state, state_origin origin, context& ctx)
    {
        steering_ = state;
        takes_difference_ = state->plan != nullptr;
        discard_outcomes();
        auto const plan = state->plan ? state->plan->number.value() : 0;
        ctx.events.record(steering_learned_event,
                          {{"generation", std::to_string(state->generation.value())},
                           {"plan", std::to_string(plan)},
                           {"control", std::to_string(origin.control.value())},
                           {"confirmed", origin.confirmed ? "true" : "false"},
                           {"evacuated", std::to_string(state->evacuated.size())}});
        if (!state->plan)
            return;
        bool const is_first = active_steering_ == nullptr;
        if (is_first || active_steering_->plan->limits != state->plan->limits)
            ctx.out.push_back(limit_callers{state->plan->limits});
        active_steering_ = state;
        if (is_first)
            accept_callers_at_ = ctx.now + config_.first_plan_timeout;
    }

    /// Lets callers in once there is a plan, unless they were before.
    void accept_callers_once(context& ctx)
    {
        if (stopping_ || !std::exchange(accept_callers_at_, std::nullopt))
            return;
        ctx.out.push_back(accept_callers{});
        // Control announces this instance to callers after a report that it is ready.
        send_report(ctx);
    }

    /// Restarts the time after which an unconfirmed first plan is used, since control is heard, but
    /// has restarted. It confirms the newest plan once there is a leader; until then it may hold
    /// any older one, such as that of its last snapshot.
    void await_confirmation(instant now)
    {
        if (accept_callers_at_)
            accept_callers_at_ = now + config_.first_plan_timeout;
    }

    /// Goes on with a first plan that nobody can confirm: where control is silent or cut off, this
    /// instance serves what it can.
    void accept_unconfirmed_plan(context& ctx)
    {
        if (stopping_ || !accept_callers_at_ || ctx.now < *accept_callers_at_)
            return;
        ctx.events.record(plan_unconfirmed_event,
                          {{"generation", std::to_string(steering_->generation.value())},
                           {"plan", std::to_string(steering_->plan->number.value())},
                           {"control", current_control_ ? std::to_string(current_control_->value())
                                                        : std::string("none")},
                           {"waited_ms", std::to_string(config_.first_plan_timeout.count())}});
        accept_callers_once(ctx);
    }

    void publish_change(messages::target_notice const& notice, context& ctx)
    {
        ctx.events.record(target_learned_event,
                          {{"target", notice.id.value()},
                           {"service", notice.service.value()},
                           {"version", notice.version.value()},
                           {"address", to_string(notice.where)},
                           {"start", std::to_string(notice.start.value())},
                           {"sequence", std::to_string(notice.sequence.value())},
                           {"age_ms", std::to_string(notice.age.count())},
                           {"cold_ms", std::to_string(notice.cold_for.count())},
                           {"standing", std::string(to_string(notice.standing))}});
        if (notice.standing != messages::target_standing::serving)
            ctx.counters.observe(notice_age, notice.age);
        if (notice.standing == messages::target_standing::gone)
            ctx.out.push_back(forget_target{notice.id});
    }

    roster_settings const& config_;
    kernel::service_map& services_;
    control_choice control_choice_;
    control_search search_;
    listed_targets listed_;
    plan_currency currency_;
    bool was_outdated_ = false; ///< As of the last input that could change it.
    shared_steering steering_ = std::make_shared<steering_state const>();
    shared_steering active_steering_; ///< The newest one that contains a plan.
    /// When callers are accepted although the first plan is not confirmed; nothing once they are.
    std::optional<instant> accept_callers_at_;
    bool takes_difference_ = false; ///< The next report asks for a difference from it.
    instant fleet_due_;             ///< When a report asks for the figures of the fleet.
    bool knows_entries_ = false;
    std::int64_t entries_ = 1;
    std::int64_t entries_in_domain_ = 1;
    std::vector<messages::version_outcomes> outcomes_; ///< Of the rollouts that run.
    std::vector<departure> departures_;
    sequence_id last_report_;
    sequence_id last_probe_;
    sequence_id newest_fetch_; ///< Probe after which an unconfirmed newer state was requested.
    std::optional<instance_id> awaited_control_;
    std::optional<instance_id> current_control_;
    /// Last change received from each control instance.
    std::map<instance_id, position> positions_;
    /// The latest reports that were not answered yet.
    std::map<sequence_id, report> pending_reports_;
    sequence_id newest_answered_;
    int consecutive_timeouts_ = 0; ///< Reports in succession without an answer.
    instant answer_deadline_;
    instant next_report_at_;
    bool stopping_ = false;
};

stage_registrar<roster_stage> const entered{"roster", stage_order::roster};

} // namespace

} // namespace mulberryrudder::entry
