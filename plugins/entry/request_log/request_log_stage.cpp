#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

struct request_log_settings
{
    requests max_per_second{300};
};

kernel::section<request_log_settings> const request_log_section{
    "request_log",
    {
        kernel::field("most_per_second", &request_log_settings::max_per_second, {0, 100'000},
                      "Maximum number of log lines per second; the lines beyond it are only "
                      "counted."),
    }};

kernel::event_kind const ended_event{
    {.number = 310,
     .name = "request.ended",
     .level = kernel::severity::info,
     .meaning =
         "A request got its final answer; the fields contain the reasons for it. "
         "`plan_age_ms` is the time for which the plan of `generation` had not been "
         "confirmed when the request arrived, -1 if it never was. `waited_ms` is the time from "
         "its first byte to the first decision, which is not part of `took_ms`.",
     .action = "Interpret `reason`, `why` and `attempts` as docs/OPERATIONS.md describes."}};
kernel::event_kind const attempt_event{
    {.number = 311,
     .name = "request.attempt_failed",
     .level = kernel::severity::info,
     .meaning = "An attempt ended without a reply that is forwarded to the caller.",
     .action = "If one target has many failed attempts, investigate that target."}};
kernel::counter_kind const unlogged_counter("request_log.left_out",
                                            "Log lines that were left out because of the limit.");

kernel::histogram_kind const answer_times("requests.answered",
                                          "Time from a request's arrival to its answer.");
kernel::histogram_kind const refusal_times("requests.refused",
                                           "Time from a request's arrival to its refusal.");
kernel::histogram_kind const attempt_times("attempts.replied",
                                           "Time from a sending to the target's reply.");

std::string milliseconds_text(span elapsed)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count());
}

/// Logs the decisions about each request: one line at its end and one for each failed
/// attempt, up to the configured number of lines per second. Keys and bodies are never
/// logged.
///
/// Thread safety: as stage.
class request_log_stage final : public stage
{
public:
    explicit request_log_stage(stage_parts const& parts)
        : config_(parts.config.get(request_log_section))
    {
    }

    void attempt_ended(request const& req, attempt const& ended, attempt_end const& result,
                       context& ctx) override
    {
        if (!result.failed)
            ctx.counters.observe(attempt_times, ctx.now - ended.started);
        if (!result.failed || !acquire_log_slot(ctx))
            return;
        ctx.events.record(attempt_event, {{"request", req.caller_reference},
                                          {"id", std::to_string(req.id.value())},
                                          {"target", ended.target.id.value()},
                                          {"address", to_string(ended.target.where)},
                                          {"cause", std::string(to_string(*result.failed))},
                                          {"run", std::string(to_string(result.run))},
                                          {"took_ms", milliseconds_text(ctx.now - ended.started)}});
    }

    void finished(request const& req, outcome const& result, context& ctx) override
    {
        bool const is_answered = std::holds_alternative<answered>(result);
        ctx.counters.observe(is_answered ? answer_times : refusal_times, ctx.now - req.arrived);
        if (!acquire_log_slot(ctx))
            return;
        auto const* const refusal = std::get_if<refused>(&result);
        std::string attempts;
        for (auto const& it : req.attempts)
            attempts += (attempts.empty() ? "" : " ") + it.target.id.value() + "+" +
                        milliseconds_text(it.started - req.arrived);
        auto const generation = req.steering ? req.steering->generation.value() : 0;
        ctx.events.record(
            ended_event,
            {{"request", req.caller_reference},
             {"id", std::to_string(req.id.value())},
             {"customer", req.customer.value()},
             {"route", req.route.value()},
             {"service", req.service.value()},
             {"object", req.object.value()},
             {"generation", std::to_string(generation)},
             {"plan_age_ms", req.plan_confirmed_at
                                 ? milliseconds_text(req.arrived - *req.plan_confirmed_at)
                                 : "-1"},
             {"reason", std::string(refusal != nullptr ? refusal->why->what().name : "answered")},
             {"run", std::string(to_string(refusal != nullptr ? refusal->run : verdict::ran))},
             {"why", req.why},
             {"attempts", std::move(attempts)},
             {"waited_ms", milliseconds_text(req.arrived - req.first_byte)},
             {"took_ms", milliseconds_text(ctx.now - req.arrived)}});
    }

private:
    /// Returns whether a line may be logged now; counts it as left out if not.
    bool acquire_log_slot(context& ctx)
    {
        auto const limit = config_.max_per_second.count() * request_cost.count();
        bucket_.reshape(ctx.now, millitokens_per_second(limit), millitokens(limit));
        if (bucket_.take(request_cost))
            return true;
        ctx.counters.add(unlogged_counter);
        return false;
    }

    request_log_settings const& config_;
    token_bucket bucket_;
};

stage_registrar<request_log_stage> const registrar{"request_log", stage_order::trace};

} // namespace

} // namespace mulberryrudder::entry
