#include "control_choice.hpp"
#include "listed_targets.hpp"

#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

struct roster_settings
{
    milliseconds answer_limit{1300};
    milliseconds first_answer_limit{250};
    milliseconds least_pause{40};
    milliseconds apart_pause{150};
};

kernel::section<roster_settings> const roster_section{
    "entry_roster",
    {
        kernel::field(
            "answer_limit", &roster_settings::answer_limit, {50, 60'000},
            "Milliseconds without an answer after which another control instance is asked; "
            "above the time for which control holds a report back."),
        kernel::field("first_answer_limit", &roster_settings::first_answer_limit, {10, 60'000},
                      "The same for a control instance that is asked for the first time, since "
                      "it answers at once; twice as long after each silence."),
        kernel::field(
            "least_pause", &roster_settings::least_pause, {1, 10'000},
            "Milliseconds between two reports at least, so that a series of changes comes "
            "together."),
    }};

kernel::event_kind const target_event{
    {.number = 300,
     .name = "targets.learned",
     .level = kernel::severity::info,
     .meaning = "This instance believes something new of a target, on control's word.",
     .action = "None."}};
kernel::event_kind const steering_event{{.number = 301,
                                         .name = "steering.learned",
                                         .level = kernel::severity::info,
                                         .meaning = "A newer steering state holds here.",
                                         .action = "None."}};
kernel::event_kind const control_lost_event{
    {.number = 302,
     .name = "control.unanswered",
     .level = kernel::severity::warning,
     .meaning = "A control instance did not answer a report; another one is asked.",
     .action = "If it goes on, look at that instance and the way to it."}};
kernel::event_kind const control_found_event{
    {.number = 303,
     .name = "control.answered",
     .level = kernel::severity::info,
     .meaning = "A control instance answers again, after none did or another one had.",
     .action = "None."}};

kernel::event_kind const control_apart_event{
    {.number = 304,
     .name = "control.apart",
     .level = kernel::severity::warning,
     .meaning = "A control instance hears too few of the others; another one is asked.",
     .action = "Look at the connections between the control instances."}};

kernel::event_kind const late_answer_event{
    {.number = 305,
     .name = "control.answered_late",
     .level = kernel::severity::warning,
     .meaning = "A control instance answered a report after it was given up; what it told is "
                "taken in. `targets` tells how many notices that were.",
     .action = "If it goes on, look at the load of the link to that instance."}};

kernel::histogram_kind const news_age("targets.news_age",
                                      "Age of the news that a target leaves, as control told it.");
kernel::counter_kind const reports_counter("roster.reports", "Reports sent to control.");

/// Silences after which the limit for an answer does not double any more.
constexpr int most_doublings = 4;
/// Reports whose answers are taken in, also late ones.
constexpr std::size_t most_reports = 32;

/// Reports to a control instance and learns the plan, the targets and the parts of
/// the rates from its answers.
///
/// Thread safety: as stage.
class roster_stage final : public stage, private plan_view
{
public:
    explicit roster_stage(stage_parts const& parts)
        : config_(parts.config.get(roster_section)), services_(parts.services)
    {
        for (auto const id : parts.self.control)
            choice_.add_contact(id);
        parts.services.provide<plan_view>(*this);
    }

    void received(envelope const& it, context& with) override
    {
        static std::array const table{on_message<&roster_stage::take_update>()};
        dispatch(*this, table, it, with);
    }

    void attempt_ended(request const& what, attempt const& it, attempt_end const& how,
                       context& with) override
    {
        auto const versions = steering_->versions.find(what.service);
        if (versions == steering_->versions.end() ||
            versions->second.phase != rollout_phase::running)
            return;
        if (how.failed == attempt_failure::shed)
            return;
        bool const late = is_late(how, with.now >= what.deadline);
        bool const broken =
            how.failed == attempt_failure::closed || how.failed == attempt_failure::malformed;
        // A caller that left, or a target that was not reached, says nothing of the version.
        if (how.failed && !late && !broken)
            return;
        auto& out = outcomes_[{what.service, it.target.version}];
        ++out.answered;
        if (late)
            ++out.late;
        else if (broken || how.content->status >= 500)
            ++out.bad;
    }

    void stopping(context& with) override
    {
        stopping_ = true;
        send_report(with);
    }

    void tick(context& with) override
    {
        if (waiting_for_ && with.now >= answer_due_)
        {
            with.events.record(control_lost_event,
                               {{"control", std::to_string(waiting_for_->value())}});
            choice_.failed(*waiting_for_, with.now);
            waiting_for_.reset();
            answered_by_.reset();
            ++unanswered_;
            report_due_ = with.now;
        }
        if (!waiting_for_ && with.now >= report_due_)
            send_report(with);
    }

private:
    /// A place in the changes of one start of a control instance.
    struct position
    {
        boot_id boot;
        sequence_id known;
    };
    /// A report that was sent.
    struct report
    {
        instance_id to;
        instant sent;
    };

    static bool is_late(attempt_end const& how, bool time_is_up)
    {
        if (!how.failed)
            return how.content->status == out_of_time_status;
        return how.failed == attempt_failure::timeout ||
               (how.failed == attempt_failure::cancelled && time_is_up);
    }

    shared_steering const& steering() const override { return shown_; }
    std::map<target_id, listed_target> const& targets() const override { return listed_.all(); }
    std::int64_t entries() const override { return entries_; }
    std::int64_t entries_in_domain() const override { return entries_in_domain_; }

    per_mille share_of(customer_id const& customer) const override
    {
        auto const it = shares_.find(customer);
        return it != shares_.end() ? it->second : per_mille(whole_share.count() / entries_);
    }

    millitokens_per_second fleet_demand(customer_id const& customer) const override
    {
        auto const it = demand_.find(customer);
        return it == demand_.end() ? millitokens_per_second() : it->second;
    }

    void send_report(context& with)
    {
        auto const to = choice_.best(with.self.self, answered_by_, with.now, with.random);
        if (!to)
            return;
        with.counters.add(reports_counter);
        // Begins anywhere, so that an answer to an earlier start is not taken for one's own.
        if (number_ == sequence_id())
            number_ = sequence_id(with.random() >> 16U);
        number_ = sequence_id(number_.value() + 1);
        messages::roster_poll out{.self = {.who = with.self.self,
                                           .boot = with.self.boot,
                                           .sequence = number_,
                                           .ready = shown_ != nullptr && !stopping_,
                                           .demand = {}},
                                  .generation = steering_->generation,
                                  .known_boot = positions_[*to].boot,
                                  .known = positions_[*to].known,
                                  .outcomes = {},
                                  .held = std::nullopt};
        if (to != answered_by_)
            out.held = listed_.summary(with.now);
        if (auto* const demand = services_.find<demand_view>())
            out.self.demand = demand->demand(with.now);
        for (auto const& [key, it] : outcomes_)
        {
            out.outcomes.push_back(it);
            out.outcomes.back().service = key.first;
            out.outcomes.back().version = key.second;
        }
        outcomes_.clear();
        with.send(*to, std::move(out));
        reports_[number_] = {*to, with.now};
        if (reports_.size() > most_reports)
            reports_.erase(reports_.begin());
        waiting_for_ = to;
        answer_due_ = with.now + answer_limit(to == answered_by_);
        report_due_ = with.now + config_.least_pause;
    }

    /// Only an instance that knows what is held here holds a report back; any other one
    /// answers at once. The limit doubles with each silence, for a slow network.
    milliseconds answer_limit(bool may_be_held) const
    {
        if (may_be_held)
            return config_.answer_limit;
        auto const doublings = std::min(unanswered_, most_doublings);
        return std::min(config_.first_answer_limit * (1 << doublings), config_.answer_limit);
    }

    void take_update(instance_id from, messages::roster_update const& it, context& with)
    {
        auto const asked = reports_.find(it.poll);
        if (asked == reports_.end() || asked->second.to != from)
            return;
        auto const sent = asked->second.sent;
        reports_.erase(asked);
        bool const late = from != waiting_for_ || it.poll != number_;
        if (late)
            note_late(from, it, sent, with);
        positions_[from] = {it.boot, it.newest};
        if (!late || (!answered_by_ && it.connected))
            attach(from, with);
        take_news(it, with);
        if (!late && !it.connected)
            leave(from, with);
    }

    static void note_late(instance_id from, messages::roster_update const& it, instant sent,
                          context& with)
    {
        auto const took = std::chrono::duration_cast<milliseconds>(with.now - sent);
        with.events.record(late_answer_event, {{"control", std::to_string(from.value())},
                                               {"took_ms", std::to_string(took.count())},
                                               {"targets", std::to_string(it.targets.size())}});
    }

    /// Takes in what control told. All of it is ordered by its own numbers, so answers may
    /// come late, and from several control instances.
    void take_news(messages::roster_update const& it, context& with)
    {
        for (auto const& each : choice_.learn(it.control))
            with.out.push_back(learn_instance{.id = each.id, .peer = each.peer});
        for (auto const& changed : listed_.take(it.targets, with.now))
            note(changed, with);
        if (it.steering && it.steering->generation > steering_->generation)
            take_steering(it.steering, with);
        if (it.poll < newest_answered_)
            return;
        newest_answered_ = it.poll;
        entries_ = std::max<std::int64_t>(it.entries, 1);
        entries_in_domain_ = std::max<std::int64_t>(it.entries_in_domain, 1);
        shares_ = it.shares;
        demand_ = it.demand;
    }

    /// Reports to a control instance from now on, as long as it answers.
    void attach(instance_id to, context& with)
    {
        waiting_for_.reset();
        unanswered_ = 0;
        choice_.answered(to);
        if (answered_by_ != to)
            with.events.record(control_found_event, {{"control", std::to_string(to.value())}});
        answered_by_ = to;
    }

    /// Asks another control instance next, since this one may miss what others decide.
    void leave(instance_id control, context& with)
    {
        with.events.record(control_apart_event, {{"control", std::to_string(control.value())}});
        choice_.failed(control, with.now);
        waiting_for_.reset();
        answered_by_.reset();
        report_due_ = with.now + config_.apart_pause;
    }

    void take_steering(shared_steering const& it, context& with)
    {
        steering_ = it;
        auto const plan = it->plan ? it->plan->number.value() : 0;
        with.events.record(steering_event, {{"generation", std::to_string(it->generation.value())},
                                            {"plan", std::to_string(plan)},
                                            {"evacuated", std::to_string(it->evacuated.size())}});
        if (!it->plan)
            return;
        bool const first = shown_ == nullptr;
        if (first || shown_->plan->limits != it->plan->limits)
            with.out.push_back(limit_callers{it->plan->limits});
        shown_ = it;
        if (!first)
            return;
        with.out.push_back(accept_callers{});
        // Control names this instance to callers once it hears that it is ready.
        send_report(with);
    }

    void note(messages::target_notice const& it, context& with)
    {
        with.events.record(target_event, {{"target", it.id.value()},
                                          {"service", it.service.value()},
                                          {"version", it.version.value()},
                                          {"address", to_string(it.where)},
                                          {"start", std::to_string(it.start.value())},
                                          {"sequence", std::to_string(it.sequence.value())},
                                          {"age_ms", std::to_string(it.age.count())},
                                          {"cold_ms", std::to_string(it.cold_for.count())},
                                          {"standing", std::string(to_string(it.standing))}});
        if (it.standing != messages::target_standing::serving)
            with.counters.observe(news_age, it.age);
        if (it.standing == messages::target_standing::gone)
            with.out.push_back(forget_target{it.id});
    }

    roster_settings const& config_;
    kernel::service_map& services_;
    control_choice choice_;
    listed_targets listed_;
    shared_steering steering_ = std::make_shared<steering_state const>();
    shared_steering shown_; ///< The newest with a plan.
    std::int64_t entries_ = 1;
    std::int64_t entries_in_domain_ = 1;
    std::map<customer_id, per_mille> shares_;
    std::map<customer_id, millitokens_per_second> demand_;
    std::map<std::pair<service_id, version_id>, messages::version_outcomes> outcomes_;
    sequence_id number_;
    std::optional<instance_id> waiting_for_;
    std::optional<instance_id> answered_by_;
    /// What of each control instance's roster is held here.
    std::map<instance_id, position> positions_;
    std::map<sequence_id, report> reports_; ///< The latest that were not answered yet.
    sequence_id newest_answered_;
    int unanswered_ = 0; ///< Reports in a row without an answer.
    instant answer_due_;
    instant report_due_;
    bool stopping_ = false;
};

stage_registrar<roster_stage> const entered{"roster", stage_order::roster};

} // namespace

} // namespace mulberryrudder::entry
