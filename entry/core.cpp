#include <mulberryrudder/entry/core.hpp>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace mulberryrudder::entry
{

namespace
{

refusal_kind const
    deadline_exceeded({.name = "deadline_exceeded",
                       .counter_name = "refused.deadline_exceeded",
                       .status = 504,
                       .meaning = "The request's deadline passed before a whole reply came."});
refusal_kind const caller_left({.name = "caller_left",
                                .counter_name = "refused.caller_left",
                                .status = 499,
                                .meaning = "The caller closed its connection before the answer."});
refusal_kind const
    attempt_lost({.name = "attempt_failed",
                  .counter_name = "refused.attempt_failed",
                  .status = 502,
                  .meaning = "The last attempt at a target failed and no other was allowed."});
refusal_kind const
    no_target({.name = "no_target",
               .counter_name = "refused.no_target",
               .status = 503,
               .meaning = "No usable target of the route was found for the request."});

kernel::counter_kind const requests_arrived("requests.arrived", "Requests taken from callers.");
kernel::histogram_kind const
    decision_delays("requests.decision_delay",
                    "Time from reading a request's first byte to the first decision about it.");
kernel::counter_kind const requests_forwarded_in("requests.forwarded_in",
                                                 "Requests taken from other entry instances.");
kernel::counter_kind const requests_answered("requests.answered",
                                             "Requests answered with a target's whole reply.");
kernel::counter_kind const attempts_sent("attempts.sent", "Sendings of a request to a target.");
kernel::counter_kind const attempts_failed("attempts.failed",
                                           "Attempts that ended without a whole reply.");

/// Returns what is certain about a request when it ends without an answer.
verdict run_of(request const& what)
{
    auto run = what.run_elsewhere;
    for (auto const& it : what.attempts)
        run = worse(run, it.running ? verdict::may_have_run : it.run);
    return run;
}

bool is_running(attempt const& it)
{
    return it.running;
}

} // namespace

std::string_view to_string(attempt_failure cause)
{
    switch (cause)
    {
    case attempt_failure::connect_refused:
        return "connect_refused";
    case attempt_failure::connect_timeout:
        return "connect_timeout";
    case attempt_failure::closed:
        return "closed";
    case attempt_failure::timeout:
        return "timeout";
    case attempt_failure::malformed:
        return "malformed";
    case attempt_failure::shed:
        return "shed";
    case attempt_failure::misdirected:
        return "misdirected";
    case attempt_failure::cancelled:
        return "cancelled";
    }
    return "closed";
}

core::core(options with)
    : self_(std::move(with.self)), random_(with.seed), context_{.now = instant{},
                                                                .random = random_,
                                                                .out = scratch_,
                                                                .counters = with.counters,
                                                                .events = with.events,
                                                                .self = self_,
                                                                .flow = *this},
      numbers_(self_.self.id, self_.boot, number_space::core)
{
    stage_parts const parts{.config = with.config, .self = self_, .services = services_};
    for (auto const& it : stage_registry::instance().entries())
        stages_.push_back({it.name, it.make(parts)});
}

core::~core() = default;

void core::begin(instant now)
{
    context_.now = now;
}

void core::flush(effects& out)
{
    std::move(scratch_.begin(), scratch_.end(), std::back_inserter(out));
    scratch_.clear();
}

void core::handle(instant now, input const& what, effects& out)
{
    begin(now);
    std::visit([this](auto const& it) { take(it); }, what);
    flush(out);
}

void core::tick(instant now, effects& out)
{
    begin(now);
    end_overdue();
    for (auto& it : stages_)
        it.rule->tick(context_);
    flush(out);
}

void core::take(request_arrived const& it)
{
    context_.counters.add(requests_arrived);
    auto const first_byte = std::min(it.first_byte.value_or(context_.now), context_.now);
    context_.counters.observe(decision_delays, context_.now - first_byte);
    admit({.id = it.id,
           .key = it.key,
           .route = it.route,
           .content = it.content,
           .idempotency_key = it.idempotency_key,
           .client = it.client,
           .arrived = context_.now,
           .first_byte = first_byte,
           .deadline = it.deadline,
           .origin = std::nullopt,
           .host = it.host,
           .object = it.object,
           .caller_reference = it.caller_reference,
           .connection = it.connection},
          0);
}

void core::take(caller_gone const& it)
{
    auto const found = live_.find(it.id);
    if (found == live_.end())
        return;
    // A request that cannot be repeated runs on, so that a resend can get its reply.
    auto& what = found->second.what;
    what.caller_left = true;
    if (!what.repeatable && run_of(what) != verdict::not_run)
        return;
    finish(it.id, refused{.why = &caller_left});
}

void core::take(lookup_arrived const& it)
{
    for (auto& stage : stages_)
        if (stage.rule->look_up(it, context_))
            return;
    scratch_.push_back(answer_lookup{.id = it.id});
}

void core::take(attempt_replied const& it)
{
    end_attempt(it.id,
                {.run = verdict::ran, .content = it.content, .load = it.load, .wishes = it.wishes});
}

void core::take(attempt_failed const& it)
{
    end_attempt(it.id, {.failed = it.cause,
                        .run = it.run,
                        .content = nullptr,
                        .load = it.load,
                        .wishes = it.wishes});
}

void core::take(announcement const& it)
{
    for (auto& stage : stages_)
        stage.rule->announced(it, context_);
}

void core::take(probe_ended const& it)
{
    for (auto& stage : stages_)
        stage.rule->probed(it, context_);
}

void core::take(message_arrived const& it)
{
    for (auto& stage : stages_)
        stage.rule->received(it.message, context_);
}

void core::take(question_arrived const& it)
{
    for (auto& stage : stages_)
        if (stage.rule->asked(it, context_))
            return;
    scratch_.push_back(answer_question{.id = it.id});
}

void core::take(stop_requested const&)
{
    for (auto& stage : stages_)
        stage.rule->stopping(context_);
}

void core::admit(request taken, std::size_t at)
{
    auto const id = taken.id;
    deadlines_.emplace(taken.deadline, id);
    live_.insert_or_assign(id, live_request{.what = std::move(taken), .at = at});
    advance(id);
}

void core::advance(request_id id)
{
    while (true)
    {
        auto const found = live_.find(id);
        if (found == live_.end())
            return;
        auto& it = found->second;
        if (it.what.deadline <= context_.now)
            return finish(id, refused{.why = &deadline_exceeded});
        if (it.at == stages_.size())
            return send_chosen(it);
        // Set before the call: the stage may resume the request from inside it.
        it.waiting = true;
        auto const at = it.at;
        auto const decided = stages_[at].rule->admit(it.what, context_);
        if (auto const* const ended = std::get_if<stop>(&decided))
            return finish(id, ended->what);
        if (std::holds_alternative<wait>(decided))
            return;
        it.waiting = false;
        it.at = at + 1;
    }
}

void core::resume(request_id id)
{
    auto const found = live_.find(id);
    if (found == live_.end() || !found->second.waiting)
        return;
    found->second.waiting = false;
    ++found->second.at;
    advance(id);
}

void core::resume_from(request_id id, std::string_view stage)
{
    auto const found = live_.find(id);
    if (found == live_.end() || !found->second.waiting)
        return;
    found->second.waiting = false;
    found->second.at = position(stage);
    advance(id);
}

std::size_t core::position(std::string_view name) const
{
    auto const same = [&](named_stage const& it) { return it.name == name; };
    auto const it = std::find_if(stages_.begin(), stages_.end(), same);
    if (it == stages_.end())
        throw std::logic_error("no stage is called " + std::string(name));
    return static_cast<std::size_t>(it - stages_.begin());
}

std::optional<outcome> core::rechecked(request const& what)
{
    for (auto& stage : stages_)
    {
        auto const decided = stage.rule->recheck(what, context_);
        if (auto const* const ended = std::get_if<stop>(&decided))
            return ended->what;
    }
    return std::nullopt;
}

void core::send_chosen(live_request& it)
{
    if (!it.what.chosen)
        return finish(it.what.id, refused{.why = &no_target});
    if (auto const ended = rechecked(it.what))
        return finish(it.what.id, *ended);
    auto const target = *it.what.chosen;
    it.what.chosen.reset();
    send(it, target);
}

void core::send(live_request& it, chosen_target const& target)
{
    it.waiting = true;
    auto const number = next_attempt_id();
    it.what.attempts.push_back({.id = number, .target = target, .started = context_.now});
    attempts_.emplace(number, it.what.id);
    context_.counters.add(attempts_sent);
    scratch_.push_back(send_attempt{.id = number,
                                    .request = it.what.id,
                                    .target = target.id,
                                    .where = target.where,
                                    .most_connections = target.most_connections,
                                    .customer = it.what.customer,
                                    .route = it.what.route,
                                    .content = it.what.content,
                                    .deadline = it.what.deadline});
    for (auto& stage : stages_)
        stage.rule->attempt_started(it.what, it.what.attempts.back(), context_);
}

void core::start_attempt(request_id id, chosen_target const& target)
{
    auto const found = live_.find(id);
    if (found == live_.end() || rechecked(found->second.what))
        return;
    send(found->second, target);
}

void core::cancel_attempt(attempt_id id)
{
    if (attempts_.contains(id))
        scratch_.push_back(entry::cancel_attempt{id});
}

void core::end_attempt(attempt_id id, attempt_end const& how)
{
    auto const owner = attempts_.find(id);
    if (owner == attempts_.end())
        return;
    auto const request = owner->second;
    attempts_.erase(owner);
    auto& what = live_.at(request).what;
    auto const same = [id](attempt const& it) { return it.id == id; };
    auto& ended = *std::find_if(what.attempts.begin(), what.attempts.end(), same);
    ended.running = false;
    ended.run = how.run;
    auto const last = ended;
    if (how.failed)
        context_.counters.add(attempts_failed);
    for (auto& stage : stages_)
        stage.rule->attempt_ended(what, last, how, context_);
    if (!how.failed)
        return finish(request, answered{how.content});
    recover(request, last, how);
}

void core::recover(request_id id, attempt const& last, attempt_end const& how)
{
    auto const found = live_.find(id);
    if (found == live_.end())
        return;
    auto& it = found->second;
    if (std::any_of(it.what.attempts.begin(), it.what.attempts.end(), is_running))
        return;
    if (it.what.caller_left)
        return finish(id, refused{.why = &caller_left});
    for (auto& stage : stages_)
    {
        auto const decided = stage.rule->recover(it.what, last, how, context_);
        if (auto const* const back = std::get_if<again>(&decided))
            return resume_from(id, back->from);
        if (auto const* const ended = std::get_if<stop>(&decided))
            return finish(id, ended->what);
        if (std::holds_alternative<wait>(decided))
            return;
    }
    finish(id, refused{.why = &attempt_lost});
}

void core::finish(request_id id, outcome what)
{
    auto const found = live_.find(id);
    if (found == live_.end())
        return;
    auto const ended = std::move(found->second.what);
    live_.erase(found);
    forget_deadline(id, ended.deadline);
    if (auto* const no = std::get_if<refused>(&what))
        no->run = worse(no->run, run_of(ended));
    cancel_running(ended);
    count(what);
    for (auto& stage : stages_)
        stage.rule->finished(ended, what, context_);
    if (!ended.origin)
        scratch_.push_back(answer_caller{.id = id, .what = std::move(what)});
}

void core::cancel_running(request const& what)
{
    for (auto const& it : what.attempts)
    {
        if (!it.running)
            continue;
        attempts_.erase(it.id);
        scratch_.push_back(entry::cancel_attempt{it.id});
        attempt_end const cancelled{.failed = attempt_failure::cancelled,
                                    .run = verdict::may_have_run};
        for (auto& stage : stages_)
            stage.rule->attempt_ended(what, it, cancelled, context_);
    }
}

void core::count(outcome const& what)
{
    if (auto const* const no = std::get_if<refused>(&what))
        context_.counters.add(no->why->counter());
    else
        context_.counters.add(requests_answered);
}

void core::forget_deadline(request_id id, instant deadline)
{
    auto const [first, last] = deadlines_.equal_range(deadline);
    auto const same = [id](auto const& it) { return it.second == id; };
    if (auto const it = std::find_if(first, last, same); it != last)
        deadlines_.erase(it);
}

void core::limit_deadline(request_id id, instant deadline)
{
    auto* const what = find(id);
    if (what == nullptr || deadline >= what->deadline)
        return;
    forget_deadline(id, what->deadline);
    what->deadline = deadline;
    deadlines_.emplace(deadline, id);
}

request* core::find(request_id id)
{
    auto const it = live_.find(id);
    return it == live_.end() ? nullptr : &it->second.what;
}

void core::inject(request taken, std::string_view stage)
{
    context_.counters.add(requests_forwarded_in);
    admit(std::move(taken), position(stage));
}

void core::publish_lease(messages::lease_grant const& grant)
{
    if (!std::exchange(leased_before_, true))
        scratch_.push_back(accept_callers{});
    for (auto& stage : stages_)
        stage.rule->leased(grant, context_);
}

void core::collect_report(messages::renew_request& out)
{
    for (auto& stage : stages_)
        stage.rule->report(out, context_);
}

request_id core::next_request_id()
{
    return request_id(numbers_.next());
}

attempt_id core::next_attempt_id()
{
    return attempt_id(numbers_.next());
}

void core::end_overdue()
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= context_.now)
        finish(deadlines_.begin()->second, refused{.why = &deadline_exceeded});
}

} // namespace mulberryrudder::entry
