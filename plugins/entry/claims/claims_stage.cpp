#include "claim_keeper.hpp"
#include "claim_refusals.hpp"
#include "claimant.hpp"
#include "timed_key.hpp"

#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/core/wall_clock.hpp>
#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

using messages::claim_answer_kind;
using messages::claim_state;

constexpr milliseconds in_progress_retry{1000};

kernel::counter_kind const grants_counter("claims.granted", "Claims that this instance granted.");
kernel::counter_kind const
    unsettled_counter("claims.unsettled",
                      "Claims for which this instance could not rule out an earlier grant.");
kernel::counter_kind const replays_counter("claims.replayed",
                                           "Resends answered with the stored reply.");
kernel::counter_kind const stored_counter("claims.kept", "Claims that this instance stores.");

kernel::event_kind const recovered_event(
    {.number = 160,
     .name = "claims.recovered",
     .level = kernel::severity::info,
     .meaning = "The instance has the records of all other keepers and grants claims "
                "for older keys again.",
     .action = "None."});

/// Returns a digest of the parts. Each is prefixed by its length, so that different
/// parts never form the same input.
digest digest_of(std::initializer_list<std::string_view> parts)
{
    std::string buf;
    for (auto const it : parts)
        buf += std::to_string(it.size()) + ":" + std::string(it);
    return sha256(buf);
}

digest fingerprint_of(request const& req)
{
    auto const method = std::to_string(static_cast<int>(req.content->method));
    return digest_of({req.route.value(), method, req.content->path, req.content->body});
}

/// Ensures that a non-idempotent request with an Idempotency-Key runs at most once: the
/// key must first be claimed at a majority of its keepers. Each entry instance is a
/// claimant for its callers and a keeper for the fleet.
///
/// Thread safety: the decision core's thread.
class claims_stage final : public stage
{
public:
    explicit claims_stage(stage_parts const& parts)
        : services_(parts.services), self_(parts.self), config_(parts.config.get(claims_section)),
          members_(config_.member_hold), keeper_(self_.self.id, self_.boot, config_),
          end_sender_(config_)
    {
    }

    step admit(request& req, context& ctx) override
    {
        if (req.repeatable || !req.idempotency_key || req.origin || claims_.contains(req.id))
            return proceed{};
        auto const created = time_of_key(*req.idempotency_key);
        if (!created)
            return refuse(idempotency_key_invalid);
        auto const age = time_of_day(ctx.now) - *created;
        if (age > config_.window)
            return stop{refused{.why = &idempotency_key_expired, .run = verdict::may_have_run}};
        if (age < -config_.clock_skew)
            return refuse(idempotency_key_ahead);
        update_view(ctx);
        if (!fleet().lease_live(ctx.now) || !keeper_.has_view())
            return refuse(claim_without_lease);
        return start_claim(req, age, ctx);
    }

    /// Before the first byte is sent, the claim must be granted, and the deadline until
    /// which the keepers assume the request to be running must not have passed.
    step recheck(request const& req, context& ctx) override
    {
        auto const it = claims_.find(req.id);
        if (it == claims_.end())
            return proceed{};
        check_invariant(it->second.progress() == claim_progress::granted,
                        "a request is forwarded without its claim");
        return ctx.now < req.deadline ? step(proceed{}) : refuse(claim_unavailable);
    }

    void finished(request const& req, outcome const& result, context& ctx) override
    {
        auto const it = claims_.find(req.id);
        if (it == claims_.end())
            return;
        auto record = it->second.request().wanted;
        record.state = claim_state::released;
        if (it->second.progress() == claim_progress::granted)
            record_outcome(record, result);
        record.expires_in = std::max(record.expires_in - (ctx.now - req.arrived), span{});
        end_sender_.add({std::move(record)}, it->second.request().keepers, ctx.now);
        claims_.erase(it);
        send_due_ends(ctx);
    }

    void received(envelope const& message, context& ctx) override
    {
        static std::array const table{on_message<&claims_stage::claim_requested>(),
                                      on_message<&claims_stage::claim_answered>(),
                                      on_message<&claims_stage::claim_ended>(),
                                      on_message<&claims_stage::end_acknowledged>(),
                                      on_message<&claims_stage::pull_requested>(),
                                      on_message<&claims_stage::page_received>()};
        dispatch(*this, table, message, ctx);
    }

    void leased(messages::lease_grant const&, context& ctx) override { update_view(ctx); }

    void tick(context& ctx) override
    {
        update_view(ctx);
        keeper_.expire(ctx.now);
        ctx.counters.set(stored_counter, keeper_.size());
        for (auto const& peer : keeper_.due_pulls(ctx.now))
            ctx.send(peer, messages::claims_pull{.boot = self_.boot});
        send_due_ends(ctx);
        expire_claims(ctx);
    }

private:
    fleet_view const& fleet() const { return services_.require<fleet_view>(); }

    span time_of_day(instant now) const
    {
        auto const* const clock = services_.find<wall_clock>();
        return clock != nullptr ? span(clock->since_epoch()) : now.time_since_epoch();
    }

    void update_view(context& ctx)
    {
        if (!fleet().lease_live(ctx.now))
            return;
        members_.update(fleet().members(), ctx.now);
        keeper_.update_view(members_.make_view(fleet().config()), ctx.now);
    }

    step start_claim(request const& req, span age, context& ctx)
    {
        messages::claim_id const id(digest_of({req.customer.value(), *req.idempotency_key}));
        auto const keepers = keepers_of(id, req.customer, keeper_.view());
        messages::claim_record wanted{.id = id,
                                      .customer = req.customer,
                                      .fingerprint = fingerprint_of(req),
                                      .holder = {self_.self.id, self_.boot, req.id},
                                      .run_within = req.deadline - ctx.now,
                                      .expires_in = config_.window - age + config_.settling_time()};
        messages::claim_request const claim{
            .wanted = std::move(wanted), .keepers = keepers, .key_age = age};
        auto const deadline = std::min(ctx.now + config_.timeout, req.deadline);
        claims_.emplace(req.id, requested_claim(claim, deadline));
        for (auto const& keeper : keepers)
            if (keeper != self_.self.id)
                ctx.send(keeper, claim);
        request_from_self(claim, ctx);
        return next_step(req.id, ctx);
    }

    /// Requests the claim from this instance's own keeper, without a message.
    void request_from_self(messages::claim_request const& claim, context& ctx)
    {
        auto const& keepers = claim.keepers;
        if (std::find(keepers.begin(), keepers.end(), self_.self.id) == keepers.end())
            return;
        if (auto const answer = answer_request(claim, ctx))
            claims_.at(claim.wanted.holder.request).add_answer(self_.self.id, *answer, ctx.now);
    }

    std::optional<messages::claim_answer> answer_request(messages::claim_request const& claim,
                                                         context& ctx)
    {
        auto out = keeper_.handle_request(claim, ctx.now);
        if (out && out->kind == claim_answer_kind::granted)
            ctx.counters.add(grants_counter);
        if (out && out->kind == claim_answer_kind::unsettled)
            ctx.counters.add(unsettled_counter);
        return out;
    }

    /// Returns the request's next step by the answers so far.
    step next_step(request_id id, context& ctx)
    {
        auto const& claim = claims_.at(id);
        if (claim.progress() == claim_progress::pending)
            return wait{};
        if (claim.progress() == claim_progress::granted)
            return proceed{};
        if (claim.reason() && claim.reason()->content)
        {
            ctx.counters.add(replays_counter);
            return stop{answered{claim.reason()->content}};
        }
        return stop{refusal_of(claim.reason())};
    }

    static refused refusal_of(std::optional<messages::claim_answer> const& reason)
    {
        if (!reason)
            return {.why = &claim_unavailable, .run = verdict::not_run};
        if (reason->kind == claim_answer_kind::other_content)
            return {.why = &claim_other_content, .run = verdict::not_run};
        if (reason->kind == claim_answer_kind::unsettled)
            return {.why = &claim_unsettled, .run = verdict::may_have_run};
        if (reason->known == claim_state::may_have_run)
            return {.why = &claim_may_have_run, .run = verdict::may_have_run};
        if (reason->known == claim_state::in_progress)
            return {.why = &claim_in_progress,
                    .run = verdict::may_have_run,
                    .retry_after = in_progress_retry};
        return {.why = &claim_already_ran, .run = verdict::ran};
    }

    /// Resumes or finishes a request after an answer or the deadline of its claim.
    void resume_or_finish(request_id id, context& ctx)
    {
        auto const next = next_step(id, ctx);
        if (std::holds_alternative<proceed>(next))
            ctx.flow.resume(id);
        else if (auto const* const ended = std::get_if<stop>(&next))
            ctx.flow.finish(id, ended->what);
    }

    /// Stores the outcome of a request whose claim was granted in the record.
    static void record_outcome(messages::claim_record& record, outcome const& result)
    {
        if (auto const* const reply = std::get_if<answered>(&result))
        {
            record.state = claim_state::finished;
            record.content = reply->content;
            return;
        }
        auto const run = std::get<refused>(result).run;
        if (run == verdict::ran)
            record.state = claim_state::reply_dropped;
        if (run == verdict::may_have_run)
            record.state = claim_state::may_have_run;
    }

    void expire_claims(context& ctx)
    {
        std::vector<request_id> decided;
        for (auto& [id, it] : claims_)
        {
            bool const was_pending = it.progress() == claim_progress::pending;
            it.expire(ctx.now);
            if (was_pending && it.progress() != claim_progress::pending)
                decided.push_back(id);
        }
        for (auto const& id : decided)
            resume_or_finish(id, ctx);
    }

    void send_due_ends(context& ctx)
    {
        for (auto const& it : end_sender_.due(ctx.now))
        {
            if (it.receiver == self_.self.id)
                claim_ended(it.receiver, it.message, ctx);
            else
                ctx.send(it.receiver, it.message);
        }
    }

    void claim_requested(instance_id sender, messages::claim_request const& claim, context& ctx)
    {
        update_view(ctx);
        if (auto const answer = answer_request(claim, ctx))
            ctx.send(sender, *answer);
    }

    void claim_answered(instance_id sender, messages::claim_answer const& answer, context& ctx)
    {
        auto const it = claims_.find(answer.holder.request);
        if (it == claims_.end() || it->second.request().wanted.holder != answer.holder ||
            it->second.progress() != claim_progress::pending)
            return;
        it->second.add_answer(sender, answer, ctx.now);
        resume_or_finish(answer.holder.request, ctx);
    }

    void claim_ended(instance_id sender, messages::claim_end const& message, context& ctx)
    {
        keeper_.handle_end(message, ctx.now);
        messages::claim_end_ack const ack{message.record.id, message.record.holder};
        if (sender == self_.self.id)
            end_sender_.acknowledge(sender, ack);
        else
            ctx.send(sender, ack);
    }

    void end_acknowledged(instance_id sender, messages::claim_end_ack const& ack, context&)
    {
        end_sender_.acknowledge(sender, ack);
    }

    void pull_requested(instance_id sender, messages::claims_pull const& pull, context& ctx)
    {
        update_view(ctx);
        ctx.send(sender, keeper_.make_page(pull, sender, ctx.now));
    }

    void page_received(instance_id sender, messages::claims_page const& page, context& ctx)
    {
        bool const was_recovered = keeper_.is_recovered();
        if (auto const next_pull = keeper_.merge(page, sender, ctx.now))
            ctx.send(sender, *next_pull);
        if (!was_recovered && keeper_.is_recovered())
            ctx.events.record(recovered_event, {{"records", std::to_string(keeper_.size())}});
    }

    kernel::service_map const& services_;
    identity const& self_;
    claims_settings const& config_;
    known_members members_;
    claim_keeper keeper_;
    claim_end_sender end_sender_;
    std::map<request_id, requested_claim> claims_;
};

stage_registrar<claims_stage> const registrar{"claims", stage_order::claims};

} // namespace

} // namespace mulberryrudder::entry
