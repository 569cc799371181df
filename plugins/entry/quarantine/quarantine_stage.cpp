#include "permit_table.hpp"
#include "suspect_table.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/messages/quarantine.hpp>

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace mulberryrudder::entry
{

namespace
{

constexpr milliseconds suspect_retry{1000};
/// Crash notices are resent, since messages may be lost.
constexpr span resend_interval = milliseconds(100);
constexpr int max_notice_resends = 3;

refusal_kind const
    quarantined({.name = "quarantined",
                 .counter_name = "refused.quarantined",
                 .status = 422,
                 .meaning = "Two targets died of this request; it is refused for a time."});
refusal_kind const
    suspect_waits({.name = "suspect_waits",
                   .counter_name = "refused.suspect_waits",
                   .status = 503,
                   .meaning = "A target died of this request, and it may not run alone now."});

kernel::counter_kind const crashes_counter("quarantine.deaths",
                                           "Attempts that were running when their target crashed.");
kernel::counter_kind const
    suspects_gauge("quarantine.suspects",
                   "Level: requests that are suspected or quarantined here.");

kernel::event_kind const suspected_event(
    {.number = 150,
     .name = "quarantine.suspected",
     .level = kernel::severity::warning,
     .meaning = "A target crashed while it ran a request; the request now runs only "
                "under a permit.",
     .action = "Find the cause of the crash in the target's log."});
kernel::event_kind const
    quarantined_event({.number = 151,
                       .name = "quarantine.entered",
                       .level = kernel::severity::error,
                       .meaning = "Two targets crashed while they ran a request; it is refused "
                                  "fleet-wide.",
                       .action = "Fix the target, then lift the quarantine with "
                                 "`mulberryctl quarantine lift`."});

digest fingerprint_of(request const& req)
{
    std::string buf = req.route.value() + '\n' +
                      std::to_string(static_cast<int>(req.content->method)) + '\n' +
                      req.content->path + '\n' + req.content->body;
    return sha256(buf);
}

/// A suspected request that waits for a permit or holds one.
struct suspected_request
{
    digest fingerprint;
    instance_id arbiter;
    instant deadline;
    bool granted = false;
    bool retry = false; ///< Waits for the permit after a failed attempt.
};

/// Refuses requests that crash targets. After one crash, requests with the same
/// fingerprint run one at a time, under a permit of the fingerprint's arbiter. After two
/// crashes they are refused.
///
/// Thread safety: the decision core's thread.
class quarantine_stage final : public stage
{
public:
    explicit quarantine_stage(stage_parts const& parts)
        : services_(parts.services), self_(parts.self.self.id),
          config_(parts.config.get(quarantine_section)), table_(config_), permits_(config_)
    {
    }

    step admit(request& req, context& ctx) override
    {
        if (req.origin)
            return proceed{};
        auto const fingerprint = fingerprint_of(req);
        if (is_refused(fingerprint))
            return refuse(quarantined);
        if (table_.suspicion_of(fingerprint) == suspicion::none)
            return proceed{};
        return request_permit(req, fingerprint, ctx) ? step(wait{})
                                                     : refuse(suspect_waits, suspect_retry);
    }

    /// A request whose fingerprint became suspected while it waited now needs a permit.
    step recheck(request const& req, context&) override
    {
        auto const fingerprint = fingerprint_of(req);
        if (is_refused(fingerprint))
            return refuse(quarantined);
        auto const it = suspects_.find(req.id);
        bool const allowed = it != suspects_.end() && it->second.granted;
        if (table_.suspicion_of(fingerprint) == suspicion::suspect && !allowed && !req.origin)
            return refuse(suspect_waits, suspect_retry);
        // With a hedged attempt, one permit could crash two targets at once.
        auto const is_running = [](attempt const& candidate) { return candidate.running; };
        bool const any_running = std::any_of(req.attempts.begin(), req.attempts.end(), is_running);
        return allowed && any_running ? refuse(suspect_waits) : step(proceed{});
    }

    void attempt_ended(request const& req, attempt const& ended, attempt_end const& result,
                       context& ctx) override
    {
        if (!is_crash(result))
            return;
        ctx.counters.add(crashes_counter);
        auto const fingerprint = fingerprint_of(req);
        std::set<attempt_id> const crashes{ended.id};
        unreported_.push_back(fingerprint);
        add_crashes(fingerprint, crashes, ctx);
        messages::suspect_notice const notice{fingerprint, crashes};
        broadcast(notice, ctx);
        resends_.push_back({notice, ctx.now + resend_interval, max_notice_resends});
    }

    /// A repeatable request waits for a permit before it runs again.
    recovery recover(request& req, attempt const&, attempt_end const& result, context& ctx) override
    {
        auto const fingerprint = fingerprint_of(req);
        if (is_refused(fingerprint))
            return stop{refused{.why = &quarantined, .run = verdict::may_have_run}};
        if (!is_crash(result) || !req.repeatable || req.origin)
            return proceed{};
        release(req.id, ctx);
        if (!request_permit(req, fingerprint, ctx))
            return stop{refused{.why = &suspect_waits, .run = verdict::may_have_run}};
        suspects_.at(req.id).retry = true;
        return wait{};
    }

    void finished(request const& req, outcome const& result, context& ctx) override
    {
        auto const it = suspects_.find(req.id);
        if (it == suspects_.end())
            return;
        if (std::holds_alternative<answered>(result) && it->second.granted)
            clear(it->second.fingerprint, ctx);
        release(req.id, ctx);
    }

    void received(envelope const& message, context& ctx) override
    {
        static std::array const table{on_message<&quarantine_stage::suspect_notified>(),
                                      on_message<&quarantine_stage::suspect_cleared>(),
                                      on_message<&quarantine_stage::permit_requested>(),
                                      on_message<&quarantine_stage::permit_answered>(),
                                      on_message<&quarantine_stage::permit_released>()};
        dispatch(*this, table, message, ctx);
    }

    void report(messages::renew_request& out, context&) override
    {
        out.suspects.insert(out.suspects.end(), unreported_.begin(), unreported_.end());
        unreported_.clear();
    }

    void tick(context& ctx) override
    {
        permits_.start(ctx.now);
        process_self_messages(ctx);
        resend_notices(ctx);
        apply_lifts();
        table_.expire(ctx.now);
        permits_.expire(ctx.now);
        ctx.counters.set(suspects_gauge, table_.size());
        expire_permit_requests(ctx);
    }

private:
    fleet_view const& fleet() const { return services_.require<fleet_view>(); }

    /// A connection that closed while a request was running counts as a crash of the
    /// target. If the target only dropped the request, its next success clears it.
    static bool is_crash(attempt_end const& result)
    {
        return result.failed == attempt_failure::closed && result.run == verdict::may_have_run;
    }

    bool is_refused(digest const& fingerprint) const
    {
        return table_.suspicion_of(fingerprint) == suspicion::quarantined ||
               fleet().config().quarantined.contains(fingerprint);
    }

    void resend_notices(context& ctx)
    {
        for (auto& it : resends_)
        {
            if (ctx.now < it.next_send)
                continue;
            broadcast(it.notice, ctx);
            it.next_send = ctx.now + resend_interval;
            --it.left;
        }
        std::erase_if(resends_, [](auto const& it) { return it.left == 0; });
    }

    void add_crashes(digest const& fingerprint, std::set<attempt_id> const& crashes, context& ctx)
    {
        auto const before = table_.suspicion_of(fingerprint);
        if (!table_.add(fingerprint, crashes, ctx.now) ||
            table_.suspicion_of(fingerprint) == before)
            return;
        bool const is_quarantined = table_.suspicion_of(fingerprint) == suspicion::quarantined;
        ctx.events.record(is_quarantined ? quarantined_event : suspected_event,
                          {{"fingerprint", to_hex(fingerprint)}});
    }

    void clear(digest const& fingerprint, context& ctx)
    {
        auto const crashes = table_.crashes_of(fingerprint);
        table_.clear(fingerprint, crashes, ctx.now);
        broadcast(messages::suspect_cleared{fingerprint, crashes}, ctx);
    }

    template <class T>
    void broadcast(T const& message, context& ctx) const
    {
        for (auto const& it : fleet().members())
            if (it.where.id != self_)
                ctx.send(it.where.id, message);
    }

    /// Removes the requests whose quarantine an operator has lifted.
    void apply_lifts()
    {
        auto const& quarantined_now = fleet().config().quarantined;
        for (auto const& it : configured_)
            if (!quarantined_now.contains(it))
                table_.lift(it);
        configured_ = quarantined_now;
    }

    /// Returns the live member that grants the fingerprint's permits: the one with the
    /// highest rendezvous score.
    std::optional<instance_id> arbiter_of(digest const& fingerprint) const
    {
        std::optional<instance_id> out;
        std::size_t best = 0;
        for (auto const& it : fleet().members())
        {
            auto score = std::hash<digest>{}(fingerprint);
            boost::hash_combine(score, it.where.id.value());
            if (!it.live || (out && score <= best))
                continue;
            out = it.where.id;
            best = score;
        }
        return out;
    }

    bool request_permit(request const& req, digest const& fingerprint, context& ctx)
    {
        auto const arbiter = arbiter_of(fingerprint);
        if (!arbiter || !fleet().lease_live(ctx.now))
            return false;
        suspects_[req.id] = {.fingerprint = fingerprint,
                             .arbiter = *arbiter,
                             .deadline =
                                 std::min(req.deadline, ctx.now + span(config_.permit_timeout))};
        request_next_permit(ctx);
        return true;
    }

    /// Requests a permit for one suspected request of this instance at a time. Otherwise
    /// an innocent request that was running when another crashed the target could run
    /// beside that one a second time.
    void request_next_permit(context& ctx)
    {
        auto const is_granted = [](auto const& it) { return it.second.granted; };
        if (suspects_.empty() || std::any_of(suspects_.begin(), suspects_.end(), is_granted))
            return;
        auto const& id = suspects_.begin()->first;
        if (auto const* const req = ctx.flow.find(id))
            send_permit_request(*req, ctx);
    }

    /// Sends a message; one to this instance itself is processed at the next tick.
    template <class T>
    void deliver(instance_id receiver, T message, context& ctx)
    {
        if (receiver != self_)
            return ctx.send(receiver, std::move(message));
        self_messages_.push_back(
            {.from = self_, .to = self_, .body = any_message::of(std::move(message))});
    }

    void process_self_messages(context& ctx)
    {
        auto const pending = std::exchange(self_messages_, {});
        for (auto const& it : pending)
            received(it, ctx);
    }

    void send_permit_request(request const& req, context& ctx)
    {
        auto const& it = suspects_.at(req.id);
        messages::permit_request message{.fingerprint = it.fingerprint,
                                         .request = req.id,
                                         .deaths = table_.crashes_of(it.fingerprint),
                                         .run_within = req.deadline - ctx.now};
        deliver(it.arbiter, std::move(message), ctx);
    }

    void expire_permit_requests(context& ctx)
    {
        std::vector<request_id> overdue;
        for (auto const& [id, it] : suspects_)
            if (!it.granted && it.deadline <= ctx.now)
                overdue.push_back(id);
        for (auto const& id : overdue)
            ctx.flow.finish(id, refused{.why = &suspect_waits, .retry_after = suspect_retry});
        request_next_permit(ctx);
    }

    void release(request_id id, context& ctx)
    {
        auto const it = suspects_.find(id);
        if (it == suspects_.end())
            return;
        deliver(it->second.arbiter, messages::permit_end{it->second.fingerprint, id}, ctx);
        suspects_.erase(it);
    }

    void suspect_notified(instance_id, messages::suspect_notice const& notice, context& ctx)
    {
        add_crashes(notice.fingerprint, notice.deaths, ctx);
    }

    void suspect_cleared(instance_id, messages::suspect_cleared const& message, context& ctx)
    {
        table_.clear(message.fingerprint, message.deaths, ctx.now);
    }

    void permit_requested(instance_id sender, messages::permit_request const& permit, context& ctx)
    {
        add_crashes(permit.fingerprint, permit.deaths, ctx);
        bool const granted =
            !is_refused(permit.fingerprint) && permits_.grant(permit.fingerprint, permit.request,
                                                              ctx.now + permit.run_within, ctx.now);
        messages::permit_answer answer{.fingerprint = permit.fingerprint,
                                       .request = permit.request,
                                       .granted = granted,
                                       .deaths = table_.crashes_of(permit.fingerprint)};
        deliver(sender, std::move(answer), ctx);
    }

    void permit_answered(instance_id, messages::permit_answer const& answer, context& ctx)
    {
        add_crashes(answer.fingerprint, answer.deaths, ctx);
        auto const it = suspects_.find(answer.request);
        if (it == suspects_.end() || it->second.granted)
            return;
        if (is_refused(answer.fingerprint))
            return ctx.flow.finish(answer.request, refused{.why = &quarantined});
        if (!answer.granted)
            return;
        it->second.granted = true;
        if (it->second.retry)
            ctx.flow.resume_from(answer.request, "versions");
        else
            ctx.flow.resume(answer.request);
    }

    void permit_released(instance_id, messages::permit_end const& permit, context&)
    {
        permits_.release(permit.fingerprint, permit.request);
    }

    kernel::service_map const& services_;
    instance_id self_;
    quarantine_settings const& config_;
    suspect_table table_;
    permit_table permits_;
    std::map<request_id, suspected_request> suspects_;
    /// A crash notice that is resent `left` more times.
    struct pending_notice
    {
        messages::suspect_notice notice;
        instant next_send;
        int left;
    };

    std::vector<pending_notice> resends_;
    std::vector<envelope> self_messages_; ///< Messages to this instance itself.
    std::vector<digest> unreported_;      ///< Crashes since the last renewal.
    std::set<digest> configured_;         ///< Quarantined by the last configuration seen.
};

stage_registrar<quarantine_stage> const registrar{"quarantine", stage_order::quarantine};

} // namespace

} // namespace mulberryrudder::entry
