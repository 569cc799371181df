#include <mulberryrudder/entry/questions.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <deque>
#include <unordered_map>

namespace mulberryrudder::entry
{

namespace
{

struct trace_settings
{
    requests capacity{10'000};
};

constexpr kernel::limits capacity_limits{0, 10'000'000};

kernel::section<trace_settings> const trace_section{
    "trace",
    {
        field("remembered", &trace_settings::capacity, capacity_limits,
              "Number of recent requests whose steps are kept for `mulberryctl explain`; about "
              "300 bytes each."),
    }};

std::string to_text(attempt_end const& result)
{
    if (!result.failed)
        return "answered by target";
    return std::string(to_string(*result.failed)) + ", " + std::string(to_string(result.run));
}

std::string to_text(outcome const& result)
{
    auto const* const refusal = std::get_if<refused>(&result);
    if (refusal == nullptr)
        return "answered";
    return "refused: " + std::string(refusal->why->what().name) + ", " +
           std::string(to_string(refusal->run));
}

/// Keeps the steps of the most recent requests for the operator command
/// `mulberryctl explain`. Keys and bodies are never kept.
///
/// Thread safety: as stage.
class trace_stage final : public stage
{
public:
    explicit trace_stage(stage_parts const& parts)
        : capacity_(static_cast<std::size_t>(parts.config.get(trace_section).capacity.count()))
    {
    }

    step admit(request& req, context& ctx) override
    {
        if (capacity_ != 0)
            add_step(req, ctx, req.origin ? "forwarded here by another instance" : "arrived");
        return proceed{};
    }

    void attempt_started(request const& req, attempt const& started, context& ctx) override
    {
        add_step(req, ctx, "sent to target " + started.target.id.value());
    }

    void attempt_ended(request const& req, attempt const& ended, attempt_end const& result,
                       context& ctx) override
    {
        add_step(req, ctx, "target " + ended.target.id.value() + ": " + to_text(result));
    }

    void finished(request const& req, outcome const& result, context& ctx) override
    {
        add_step(req, ctx, to_text(result));
    }

    bool asked(question_arrived const& query, context& ctx) override
    {
        auto const* const explain = query.body.get<explain_request>();
        if (explain == nullptr)
            return false;
        request_explanation out{.request = explain->request};
        if (auto const it = traces_.find(explain->request); it != traces_.end())
            out = it->second.explanation;
        ctx.out.push_back(answer_question{.id = query.id, .body = any_message::of(out)});
        return true;
    }

private:
    struct trace
    {
        instant arrived;
        request_explanation explanation;
    };

    void add_step(request const& req, context& ctx, std::string text)
    {
        if (capacity_ == 0)
            return;
        auto& it = find_or_add_trace(req, ctx.now);
        it.explanation.customer = req.customer;
        it.explanation.version = req.version;
        auto const elapsed = std::chrono::duration_cast<milliseconds>(ctx.now - it.arrived);
        it.explanation.steps.push_back({.since_arrival = elapsed, .what = std::move(text)});
    }

    trace& find_or_add_trace(request const& req, instant now)
    {
        auto const [it, added] = traces_.try_emplace(req.id);
        if (!added)
            return it->second;
        it->second.arrived = now;
        it->second.explanation = {.request = req.id, .known = true, .route = req.route};
        order_.push_back(req.id);
        auto& new_trace = it->second;
        remove_oldest();
        return new_trace;
    }

    void remove_oldest()
    {
        if (order_.size() <= capacity_)
            return;
        traces_.erase(order_.front());
        order_.pop_front();
    }

    std::size_t capacity_;
    std::unordered_map<request_id, trace> traces_;
    std::deque<request_id> order_; ///< Oldest first.
};

stage_registrar<trace_stage> const registrar{"trace", stage_order::trace};

} // namespace

} // namespace mulberryrudder::entry
