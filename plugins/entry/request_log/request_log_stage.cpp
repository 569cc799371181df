#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

struct request_log_settings
{
    requests most_per_second{300};
};

kernel::section<request_log_settings> const request_log_section{
    "request_log",
    {
        kernel::field("most_per_second", &request_log_settings::most_per_second, {0, 100'000},
                      "Requests a second whose decisions are logged at most; those beyond are "
                      "counted."),
    }};

kernel::event_kind const ended_event{
    {.number = 310,
     .name = "request.ended",
     .level = kernel::severity::info,
     .meaning = "A request got its final answer; the fields tell what decided it.",
     .action = "Follow `reason`, `why` and `attempts` as docs/OPERATIONS.md tells."}};
kernel::event_kind const attempt_event{
    {.number = 311,
     .name = "request.attempt_failed",
     .level = kernel::severity::info,
     .meaning = "An attempt at a target ended without a reply that is passed on.",
     .action = "If one target has many, look at that target."}};
kernel::counter_kind const unlogged_counter("request_log.left_out",
                                            "Requests whose decisions were not logged.");

kernel::histogram_kind const answer_times("requests.answered",
                                          "Time from a request's arrival to its answer.");
kernel::histogram_kind const refusal_times("requests.refused",
                                           "Time from a request's arrival to its refusal.");
kernel::histogram_kind const attempt_times("attempts.replied",
                                           "Time from a sending to the target's reply.");

std::string milliseconds_text(span from)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(from).count());
}

/// Logs what decided each request: one line at its end, and one for each attempt that
/// failed. No key and no body is logged.
///
/// Thread safety: as stage.
class request_log_stage final : public stage
{
public:
    explicit request_log_stage(stage_parts const& parts)
        : config_(parts.config.get(request_log_section))
    {
    }

    void attempt_ended(request const& what, attempt const& it, attempt_end const& how,
                       context& with) override
    {
        if (!how.failed)
            with.counters.observe(attempt_times, with.now - it.started);
        if (!how.failed || !has_room(with))
            return;
        with.events.record(attempt_event, {{"request", what.caller_reference},
                                           {"id", std::to_string(what.id.value())},
                                           {"target", it.target.id.value()},
                                           {"address", to_string(it.target.where)},
                                           {"cause", std::string(to_string(*how.failed))},
                                           {"run", std::string(to_string(how.run))},
                                           {"took_ms", milliseconds_text(with.now - it.started)}});
    }

    void finished(request const& what, outcome const& how, context& with) override
    {
        bool const answers = std::holds_alternative<answered>(how);
        with.counters.observe(answers ? answer_times : refusal_times, with.now - what.arrived);
        if (!has_room(with))
            return;
        auto const* const no = std::get_if<refused>(&how);
        std::string attempts;
        for (auto const& it : what.attempts)
            attempts += (attempts.empty() ? "" : " ") + it.target.id.value() + "+" +
                        milliseconds_text(it.started - what.arrived);
        auto const generation = what.steering ? what.steering->generation.value() : 0;
        with.events.record(
            ended_event,
            {{"request", what.caller_reference},
             {"id", std::to_string(what.id.value())},
             {"customer", what.customer.value()},
             {"route", what.route.value()},
             {"service", what.service.value()},
             {"object", what.object.value()},
             {"generation", std::to_string(generation)},
             {"reason", std::string(no != nullptr ? no->why->what().name : "answered")},
             {"run", std::string(to_string(no != nullptr ? no->run : verdict::ran))},
             {"why", what.why},
             {"attempts", std::move(attempts)},
             {"took_ms", milliseconds_text(with.now - what.arrived)}});
    }

private:
    bool has_room(context& with)
    {
        auto const most = config_.most_per_second.count() * request_cost.count();
        bucket_.reshape(with.now, millitokens_per_second(most), millitokens(most));
        if (bucket_.take(request_cost))
            return true;
        with.counters.add(unlogged_counter);
        return false;
    }

    request_log_settings const& config_;
    token_bucket bucket_;
};

stage_registrar<request_log_stage> const entered{"request_log", stage_order::trace};

} // namespace

} // namespace mulberryrudder::entry
