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
    requests remembered{10'000};
};

constexpr kernel::limits remembered_counts{0, 10'000'000};

kernel::section<trace_settings> const trace_section{
    "trace",
    {
        field("remembered", &trace_settings::remembered, remembered_counts,
              "Requests whose way is remembered for `mulberryctl explain`; about 300 bytes each."),
    }};

std::string text_of(attempt_end const& how)
{
    if (!how.failed)
        return "answered by target";
    return std::string(to_string(*how.failed)) + ", " + std::string(to_string(how.run));
}

std::string text_of(outcome const& what)
{
    auto const* const no = std::get_if<refused>(&what);
    if (no == nullptr)
        return "answered";
    return "refused: " + std::string(no->why->what().name) + ", " + std::string(to_string(no->run));
}

/// Remembers the way of the last requests, so that an operator can be told why
/// the instance did what it did. No key and no body is remembered.
class trace_stage final : public stage
{
public:
    explicit trace_stage(stage_parts const& parts)
        : remembered_(static_cast<std::size_t>(parts.config.get(trace_section).remembered.count()))
    {
    }

    step admit(request& what, context& with) override
    {
        if (remembered_ != 0)
            note(what, with, what.origin ? "forwarded here by another instance" : "arrived");
        return proceed{};
    }

    void attempt_started(request const& what, attempt const& it, context& with) override
    {
        note(what, with, "sent to target " + it.target.id.value());
    }

    void attempt_ended(request const& what, attempt const& it, attempt_end const& how,
                       context& with) override
    {
        note(what, with, "target " + it.target.id.value() + ": " + text_of(how));
    }

    void finished(request const& what, outcome const& how, context& with) override
    {
        note(what, with, text_of(how));
    }

    bool asked(question_arrived const& what, context& with) override
    {
        auto const* const asked = what.body.get<explain_request>();
        if (asked == nullptr)
            return false;
        request_explanation out{.request = asked->request};
        if (auto const it = traces_.find(asked->request); it != traces_.end())
            out = it->second.told;
        with.out.push_back(answer_question{.id = what.id, .body = any_message::of(out)});
        return true;
    }

private:
    struct trace
    {
        instant arrived;
        request_explanation told;
    };

    void note(request const& what, context& with, std::string text)
    {
        if (remembered_ == 0)
            return;
        auto& it = trace_of(what, with.now);
        it.told.customer = what.customer;
        it.told.version = what.version;
        auto const since = std::chrono::duration_cast<milliseconds>(with.now - it.arrived);
        it.told.steps.push_back({.since_arrival = since, .what = std::move(text)});
    }

    trace& trace_of(request const& what, instant now)
    {
        auto const [it, added] = traces_.try_emplace(what.id);
        if (!added)
            return it->second;
        it->second.arrived = now;
        it->second.told = {.request = what.id, .known = true, .route = what.route};
        order_.push_back(what.id);
        auto& made = it->second;
        forget_oldest();
        return made;
    }

    void forget_oldest()
    {
        if (order_.size() <= remembered_)
            return;
        traces_.erase(order_.front());
        order_.pop_front();
    }

    std::size_t remembered_;
    std::unordered_map<request_id, trace> traces_;
    std::deque<request_id> order_; ///< Oldest first.
};

stage_registrar<trace_stage> const entered{"trace", stage_order::trace};

} // namespace

} // namespace mulberryrudder::entry
