#include <mulberryrudder/entry/retry_budget.hpp>

#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

struct repeats_settings
{
    per_mille share{100};
    requests most_saved{4};
    milliseconds least_left{50};
};

kernel::section<repeats_settings> const repeats_section{
    "repeats",
    {
        kernel::field(
            "share", &repeats_settings::share, {0, 1000},
            "Thousandths of a service's requests that may be sent to a target once more; half "
            "of what the fleet is allowed."),
        kernel::field("most_saved", &repeats_settings::most_saved, {0, 1000},
                      "Repeats that quiet times save up at this instance."),
        kernel::field("least_left", &repeats_settings::least_left, {0, 60'000},
                      "Milliseconds that must be left for another target to be tried."),
    }};

refusal_kind const
    attempts_shed({.name = "attempts_shed",
                   .counter_name = "refused.attempts_shed",
                   .status = 503,
                   .meaning = "Each target that was tried turned the request away."});
refusal_kind const
    outcome_open({.name = "outcome_open",
                  .counter_name = "refused.outcome_open",
                  .status = 502,
                  .meaning = "A target may have run the request, and no answer came."});

/// When a caller may come back whom targets turned away: their queues are short.
constexpr milliseconds shed_pause{300};

/// Decides whether a failed request is sent to another target: only if it did not run
/// or may run twice, within the route's number of targets and a budget by service.
///
/// Thread safety: as stage.
class repeats_stage final : public stage
{
public:
    explicit repeats_stage(stage_parts const& parts) : config_(parts.config.get(repeats_section)) {}

    void attempt_started(request const& what, attempt const&, context&) override
    {
        if (what.attempts.size() == 1)
            budgets_[what.service].deposit(config_.share, config_.most_saved);
    }

    recovery recover(request& what, attempt const& last, attempt_end const& how,
                     context& with) override
    {
        if (what.planned == nullptr)
            return proceed{};
        bool const reached = how.failed != attempt_failure::connect_refused &&
                             how.failed != attempt_failure::connect_timeout;
        bool const allowed = last.run == verdict::not_run || what.repeatable;
        bool const in_time = with.now + config_.least_left < what.deadline;
        auto& budget = budgets_[what.service];
        if (allowed && in_time && within_targets(what) && (!reached || budget.has_token()))
        {
            if (reached)
                budget.withdraw(config_.share);
            return again{"placement"};
        }
        bool const ran = std::any_of(what.attempts.begin(), what.attempts.end(),
                                     [](attempt const& it) { return it.run != verdict::not_run; });
        return stop{refused{.why = ran ? &outcome_open : &attempts_shed,
                            .run = ran ? verdict::may_have_run : verdict::not_run,
                            .retry_after = shed_pause}};
    }

private:
    /// Targets that certainly did not run the request do not count, but bound the tries.
    static bool within_targets(request const& what)
    {
        auto const ran =
            std::count_if(what.attempts.begin(), what.attempts.end(),
                          [](attempt const& it) { return it.run != verdict::not_run; });
        auto const most = what.planned->most_targets.count();
        return ran < most && static_cast<std::int64_t>(what.attempts.size()) <= most;
    }

    repeats_settings const& config_;
    std::map<service_id, retry_budget> budgets_;
};

stage_registrar<repeats_stage> const entered{"repeats", stage_order::repeats};

} // namespace

} // namespace mulberryrudder::entry
