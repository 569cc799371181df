#include "outcome_history.hpp"
#include "outcome_totals.hpp"
#include "rollout_comparison.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

struct rollout_settings
{
    per_mille second_stage_share{120};
    per_mille second_stage_start{750};
    per_mille completion_time{900};
    per_mille max_bad_excess{30};
    per_mille max_broken_excess{400};
    std::int64_t min_bad_factor = 4;
    per_mille max_late_excess{300};
    requests min_bad{6};
    requests min_answers{40};
    per_mille min_capacity{700};
    milliseconds check_interval{200};
};

constexpr kernel::limits per_mille_limits{1, 1000};

kernel::section<rollout_settings> const rollout_section{
    "rollouts",
    {
        kernel::field("late_share", &rollout_settings::second_stage_share, per_mille_limits,
                      "Thousandths of the requests that the new version gets in the second stage."),
        kernel::field(
            "late_from", &rollout_settings::second_stage_start, per_mille_limits,
            "Thousandths of the rollout's duration after which the second stage starts and "
            "late_share applies."),
        kernel::field("end_at", &rollout_settings::completion_time, per_mille_limits,
                      "Thousandths of the rollout's duration after which the new version gets all "
                      "requests unless it is worse than the old one."),
        kernel::field(
            "bad_beyond", &rollout_settings::max_bad_excess, per_mille_limits,
            "Thousandths of the requests served well by the old version that the new one may "
            "fail; beyond, it is rolled back."),
        kernel::field(
            "broken_beyond", &rollout_settings::max_broken_excess, per_mille_limits,
            "The same for connections that end without a complete reply. More than the excess "
            "of a good version on a few targets while replies of some targets are lost."),
        kernel::field("bad_times", &rollout_settings::min_bad_factor, {1, 1000},
                      "A new version is also rolled back for less than broken_beyond if it fails "
                      "at least this many times as often as the old one."),
        kernel::field(
            "late_beyond", &rollout_settings::max_late_excess, per_mille_limits,
            "Thousandths of the requests answered in time by the old version that may time out "
            "at the new one; beyond, it is rolled back. More than the excess of a good "
            "version whose targets have empty caches."),
        kernel::field(
            "least_bad", &rollout_settings::min_bad, {1, 1000},
            "Bad answers, or late ones, before a new version can be rolled back for them."),
        kernel::field(
            "least_answers", &rollout_settings::min_answers, {0, 100'000},
            "Answers that the new version must have given to get all requests, or a tenth of "
            "the old version's if that is less; the rollout waits for them, even beyond its "
            "duration."),
        kernel::field(
            "least_room", &rollout_settings::min_capacity, {0, 1000},
            "Thousandths of the old version's slots that the new one must have to get all "
            "requests; the rollout waits for them, even beyond its duration, since the "
            "old targets stop at its end."),
        kernel::field("check_period", &rollout_settings::check_interval, {10, 60'000},
                      "Milliseconds between two evaluations of a rollout."),
    }};

kernel::event_kind const judged_event{
    {.number = 710,
     .name = "rollout.judged",
     .level = kernel::severity::info,
     .meaning = "The share of a rollout's version changes, or the rollout ends.",
     .action = "If it was rolled back, check the failures of that version's targets."}};

kernel::event_kind const suspected_event{
    {.number = 711,
     .name = "rollout.suspected",
     .level = kernel::severity::warning,
     .meaning = "A rollout's version fails more often than the old one, but not clearly enough to "
                "be rolled back. The fields give the answers, failures, broken replies and "
                "timeouts of both versions.",
     .action = "Check the failures of the targets of both versions."}};

/// Time between two reports that a version is suspected.
constexpr seconds suspected_interval{2};

/// Runs the rollouts while this instance leads, by the time since it learned of them. A new version
/// gets a small share of the requests first and a larger one in a second stage, then all requests.
/// It is rolled back immediately if it is clearly worse than the old version, and instead of
/// getting all requests if it may be.
///
/// Thread safety: the decision core's thread.
class rollouts final : public component
{
public:
    explicit rollouts(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(rollout_section)),
          limits_{.max_failed_excess = config_.max_bad_excess,
                  .max_broken_excess = config_.max_broken_excess,
                  .max_late_excess = config_.max_late_excess,
                  .min_bad_factor = config_.min_bad_factor,
                  .min_bad = config_.min_bad,
                  .min_answers = config_.min_answers}
    {
    }

    void following(context&) override
    {
        for (auto& [service, rollout] : running_)
        {
            rollout.outcomes = {};
            rollout.history = {};
        }
    }

    void tick(context& ctx) override
    {
        if (ctx.now < check_due_)
            return;
        check_due_ = ctx.now + config_.check_interval;
        auto const state = services_.require<steering_view>().steering();
        // Also while another instance leads, since this one may lead before the rollout ends.
        for (auto const& [service, versions] : state->versions)
        {
            if (versions.phase == rollout_phase::running)
                progress_of(service, versions, ctx.now);
            else
                running_.erase(service);
        }
        auto& log = services_.require<replicated_log>();
        if (!log.may_act(ctx.now))
            return;
        propose_base_versions(*state, log);
        for (auto const& [service, versions] : state->versions)
            if (versions.phase == rollout_phase::running)
                evaluate(service, versions, log, ctx);
    }

private:
    struct progress
    {
        instant second_stage_start;
        instant completion_time;
        instant next_suspected_report;
        version_id version;
        outcome_totals outcomes;
        outcome_history history;
    };

    void propose_base_versions(steering_state const& state, replicated_log& log)
    {
        if (!state.plan)
            return;
        for (auto const& it : state.plan->services)
        {
            auto const known = state.versions.find(it.id);
            if (known != state.versions.end() && !known->second.base.value().empty())
                continue;
            auto const versions = services_.require<roster_view>().versions_of(it.id);
            if (!versions.empty())
                log.propose(any_message::of(note_base_version{it.id, versions.front()}));
        }
    }

    /// Returns the progress of a service's rollout. A rollout of another version starts anew.
    progress& progress_of(service_id const& service, service_versions const& versions, instant now)
    {
        auto& rollout = running_[service];
        if (rollout.version == versions.next)
            return rollout;
        rollout = {.second_stage_start =
                       now + versions.duration * config_.second_stage_start.count() / 1000,
                   .completion_time =
                       now + versions.duration * config_.completion_time.count() / 1000,
                   .next_suspected_report = {},
                   .version = versions.next,
                   .outcomes = {},
                   .history = {}};
        return rollout;
    }

    void evaluate(service_id const& service, service_versions const& versions, replicated_log& log,
                  context& ctx)
    {
        auto& rollout = progress_of(service, versions, ctx.now);
        for (auto const& it : services_.require<roster_view>().entry_notices())
            rollout.outcomes.update(it, service, versions.next);
        auto const new_counts = rollout.outcomes.of(versions.next);
        auto const old_counts = rollout.outcomes.of(versions.base);
        rollout.history.append(ctx.now, {.new_version = new_counts, .old_version = old_counts});
        auto const result = is_worse_while_old_serves(rollout.history, limits_)
                                ? rollout_comparison::worse
                                : compare_versions(new_counts, old_counts, limits_);
        bool const is_complete = ctx.now >= rollout.completion_time;
        step_rollout step{.service = service, .version = versions.next, .share = versions.share};
        if (result == rollout_comparison::worse ||
            (is_complete && result == rollout_comparison::suspected))
        {
            step.phase = rollout_phase::rolled_back;
            step.share = per_mille(0);
        }
        else if (is_complete && has_evidence(new_counts, old_counts, limits_) &&
                 has_capacity(service, versions))
        {
            step.phase = rollout_phase::succeeded;
            step.share = whole_share;
        }
        else if (ctx.now >= rollout.second_stage_start)
            step.share = std::max(versions.share, config_.second_stage_share);
        if (step.phase == rollout_phase::running && step.share == versions.share)
            return report_suspicion(service, versions.next, new_counts, old_counts, rollout, ctx);
        ctx.events.record(
            judged_event,
            {{"service", service.value()},
             {"version", versions.next.value()},
             {"share", std::to_string(step.share.count())},
             {"phase", std::to_string(static_cast<int>(step.phase))},
             {"answered", std::to_string(new_counts.answered)},
             {"bad", std::to_string(new_counts.bad())},
             {"broken", std::to_string(new_counts.broken)},
             {"late", std::to_string(new_counts.late)},
             {"old_answered", std::to_string(old_counts.answered)},
             {"old_bad_per_mille", std::to_string(old_counts.per_mille_of(old_counts.bad()))},
             {"old_broken_per_mille", std::to_string(old_counts.per_mille_of(old_counts.broken))},
             {"old_late_per_mille", std::to_string(old_counts.per_mille_of(old_counts.late))}});
        log.propose(any_message::of(std::move(step)));
    }

    /// Records at intervals that a version fails more often than the old one, yet not clearly
    /// enough to be rolled back.
    static void report_suspicion(service_id const& service, version_id const& version,
                                 outcome_counts const& new_counts, outcome_counts const& old_counts,
                                 progress& rollout, context& ctx)
    {
        bool const is_suspected =
            new_counts.per_mille_of(new_counts.bad()) > old_counts.per_mille_of(old_counts.bad()) ||
            new_counts.per_mille_of(new_counts.late) > old_counts.per_mille_of(old_counts.late);
        if (!is_suspected || ctx.now < rollout.next_suspected_report)
            return;
        rollout.next_suspected_report = ctx.now + suspected_interval;
        ctx.events.record(suspected_event, {{"service", service.value()},
                                            {"version", version.value()},
                                            {"answered", std::to_string(new_counts.answered)},
                                            {"failed", std::to_string(new_counts.failed)},
                                            {"broken", std::to_string(new_counts.broken)},
                                            {"late", std::to_string(new_counts.late)},
                                            {"old_answered", std::to_string(old_counts.answered)},
                                            {"old_failed", std::to_string(old_counts.failed)},
                                            {"old_broken", std::to_string(old_counts.broken)},
                                            {"old_late", std::to_string(old_counts.late)}});
    }

    bool has_capacity(service_id const& service, service_versions const& versions) const
    {
        auto const& targets = services_.require<roster_view>();
        return targets.capacity_of(service, versions.next).count() * 1000 >=
               targets.capacity_of(service, versions.base).count() * config_.min_capacity.count();
    }

    kernel::service_map& services_;
    rollout_settings const& config_;
    comparison_limits limits_;
    instant check_due_;
    std::map<service_id, progress> running_;
};

component_registrar<rollouts> const registrar{"rollouts", component_order::rollouts};

} // namespace

} // namespace mulberryrudder::control
