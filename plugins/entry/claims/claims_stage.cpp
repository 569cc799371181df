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

kernel::counter_kind const grants("claims.granted", "Claims that this instance granted.");
kernel::counter_kind const unsure("claims.unsettled",
                                  "Claims that this instance could not be sure of.");
kernel::counter_kind const replayed("claims.replayed", "Resends answered with the stored reply.");
kernel::counter_kind const kept("claims.kept", "Claims that this instance keeps.");

kernel::event_kind const
    recovered({.number = 160,
               .name = "claims.recovered",
               .level = kernel::severity::info,
               .meaning = "The instance holds the records of all other keepers and grants claims "
                          "of older keys again.",
               .action = "None."});

/// Returns a digest of texts that cannot run into each other.
digest digest_of(std::initializer_list<std::string_view> parts)
{
    std::string buf;
    for (auto const it : parts)
        buf += std::to_string(it.size()) + ":" + std::string(it);
    return sha256(buf);
}

digest fingerprint_of(request const& what)
{
    auto const method = std::to_string(static_cast<int>(what.content->method));
    return digest_of({what.route.value(), method, what.content->path, what.content->body});
}

/// Lets a non-idempotent request with an Idempotency-Key run at most once: it is
/// claimed at a majority of the key's keepers first. Each entry instance is a
/// claimant for its callers and a keeper for the fleet.
///
/// Thread safety: the decision core's thread.
class claims_stage final : public stage
{
public:
    explicit claims_stage(stage_parts const& parts)
        : services_(parts.services), self_(parts.self), config_(parts.config.get(claims_section)),
          members_(config_.member_hold), keeper_(self_.self.id, self_.boot, config_),
          endings_(config_)
    {
    }

    step admit(request& what, context& with) override
    {
        if (what.repeatable || !what.idempotency_key || what.origin || asked_.contains(what.id))
            return proceed{};
        auto const made = time_of_key(*what.idempotency_key);
        if (!made)
            return refuse(idempotency_key_invalid);
        auto const age = time_of_day(with.now) - *made;
        if (age > config_.window)
            return stop{refused{.why = &idempotency_key_expired, .run = verdict::may_have_run}};
        if (age < -config_.clock_skew)
            return refuse(idempotency_key_ahead);
        watch(with);
        if (!fleet().lease_live(with.now) || !keeper_.has_view())
            return refuse(claim_without_lease);
        return begin_claim(what, age, with);
    }

    /// Right before the first byte goes out, the claim must be held and the
    /// keepers must still believe that the request can be running.
    step recheck(request const& what, context& with) override
    {
        auto const it = asked_.find(what.id);
        if (it == asked_.end())
            return proceed{};
        check_invariant(it->second.progress() == claim_progress::granted,
                        "a request is forwarded without its claim");
        return with.now < what.deadline ? step(proceed{}) : refuse(claim_unavailable);
    }

    void finished(request const& what, outcome const& how, context& with) override
    {
        auto const it = asked_.find(what.id);
        if (it == asked_.end())
            return;
        auto record = it->second.asked().wanted;
        record.state = claim_state::released;
        if (it->second.progress() == claim_progress::granted)
            settle(record, how);
        record.expires_in = std::max(record.expires_in - (with.now - what.arrived), span{});
        endings_.add({std::move(record)}, it->second.asked().keepers, with.now);
        asked_.erase(it);
        send_endings(with);
    }

    void received(envelope const& it, context& with) override
    {
        static std::array const table{
            on_message<&claims_stage::claim_asked>(), on_message<&claims_stage::claim_answered>(),
            on_message<&claims_stage::claim_ended>(), on_message<&claims_stage::end_acknowledged>(),
            on_message<&claims_stage::pull_asked>(),  on_message<&claims_stage::page_arrived>()};
        dispatch(*this, table, it, with);
    }

    void leased(messages::lease_grant const&, context& with) override { watch(with); }

    void tick(context& with) override
    {
        watch(with);
        keeper_.expire(with.now);
        with.counters.set(kept, keeper_.size());
        for (auto const& to : keeper_.due_pulls(with.now))
            with.send(to, messages::claims_pull{.boot = self_.boot});
        send_endings(with);
        end_overdue(with);
    }

private:
    fleet_view const& fleet() const { return services_.require<fleet_view>(); }

    span time_of_day(instant now) const
    {
        auto const* const clock = services_.find<wall_clock>();
        return clock != nullptr ? span(clock->since_epoch()) : now.time_since_epoch();
    }

    void watch(context& with)
    {
        if (!fleet().lease_live(with.now))
            return;
        members_.see(fleet().members(), with.now);
        keeper_.follow(members_.view(fleet().config()), with.now);
    }

    step begin_claim(request const& what, span age, context& with)
    {
        messages::claim_id const id(digest_of({what.customer.value(), *what.idempotency_key}));
        auto const keepers = keepers_of(id, what.customer, keeper_.view());
        messages::claim_record wanted{.id = id,
                                      .customer = what.customer,
                                      .fingerprint = fingerprint_of(what),
                                      .holder = {self_.self.id, self_.boot, what.id},
                                      .run_within = what.deadline - with.now,
                                      .expires_in = config_.window - age + config_.settling()};
        messages::claim_request const asked{
            .wanted = std::move(wanted), .keepers = keepers, .key_age = age};
        auto const give_up = std::min(with.now + config_.timeout, what.deadline);
        asked_.emplace(what.id, asked_claim(asked, give_up));
        for (auto const& to : keepers)
            if (to != self_.self.id)
                with.send(to, asked);
        ask_self(asked, with);
        return decide(what.id, with);
    }

    /// The own keeper is asked without a message.
    void ask_self(messages::claim_request const& asked, context& with)
    {
        auto const& keepers = asked.keepers;
        if (std::find(keepers.begin(), keepers.end(), self_.self.id) == keepers.end())
            return;
        if (auto const answer = keep(asked, with))
            asked_.at(asked.wanted.holder.request).take(self_.self.id, *answer, with.now);
    }

    std::optional<messages::claim_answer> keep(messages::claim_request const& asked, context& with)
    {
        auto out = keeper_.ask(asked, with.now);
        if (out && out->kind == claim_answer_kind::granted)
            with.counters.add(grants);
        if (out && out->kind == claim_answer_kind::unsettled)
            with.counters.add(unsure);
        return out;
    }

    /// Returns what follows from the answers so far.
    step decide(request_id id, context& with)
    {
        auto const& it = asked_.at(id);
        if (it.progress() == claim_progress::asking)
            return wait{};
        if (it.progress() == claim_progress::granted)
            return proceed{};
        if (it.reason() && it.reason()->content)
        {
            with.counters.add(replayed);
            return stop{answered{it.reason()->content}};
        }
        return stop{denied(it.reason())};
    }

    static refused denied(std::optional<messages::claim_answer> const& why)
    {
        if (!why)
            return {.why = &claim_unavailable, .run = verdict::not_run};
        if (why->kind == claim_answer_kind::other_content)
            return {.why = &claim_other_content, .run = verdict::not_run};
        if (why->kind == claim_answer_kind::unsettled)
            return {.why = &claim_unsettled, .run = verdict::may_have_run};
        if (why->known == claim_state::may_have_run)
            return {.why = &claim_may_have_run, .run = verdict::may_have_run};
        if (why->known == claim_state::in_progress)
            return {.why = &claim_in_progress,
                    .run = verdict::may_have_run,
                    .retry_after = in_progress_retry};
        return {.why = &claim_already_ran, .run = verdict::ran};
    }

    /// Continues or ends a request whose claim was settled by a message or by time.
    void advance(request_id id, context& with)
    {
        auto const decided = decide(id, with);
        if (std::holds_alternative<proceed>(decided))
            with.flow.resume(id);
        else if (auto const* const ended = std::get_if<stop>(&decided))
            with.flow.finish(id, ended->what);
    }

    /// Enters into the record how a request ended that held its claim.
    static void settle(messages::claim_record& record, outcome const& how)
    {
        if (auto const* const reply = std::get_if<answered>(&how))
        {
            record.state = claim_state::finished;
            record.content = reply->content;
            return;
        }
        auto const run = std::get<refused>(how).run;
        if (run == verdict::ran)
            record.state = claim_state::reply_dropped;
        if (run == verdict::may_have_run)
            record.state = claim_state::may_have_run;
    }

    void end_overdue(context& with)
    {
        std::vector<request_id> settled;
        for (auto& [id, it] : asked_)
        {
            bool const asking = it.progress() == claim_progress::asking;
            it.expire(with.now);
            if (asking && it.progress() != claim_progress::asking)
                settled.push_back(id);
        }
        for (auto const& id : settled)
            advance(id, with);
    }

    void send_endings(context& with)
    {
        for (auto const& it : endings_.due(with.now))
        {
            if (it.to == self_.self.id)
                claim_ended(it.to, it.what, with);
            else
                with.send(it.to, it.what);
        }
    }

    void claim_asked(instance_id from, messages::claim_request const& it, context& with)
    {
        watch(with);
        if (auto const answer = keep(it, with))
            with.send(from, *answer);
    }

    void claim_answered(instance_id from, messages::claim_answer const& it, context& with)
    {
        auto const found = asked_.find(it.holder.request);
        if (found == asked_.end() || found->second.asked().wanted.holder != it.holder ||
            found->second.progress() != claim_progress::asking)
            return;
        found->second.take(from, it, with.now);
        advance(it.holder.request, with);
    }

    void claim_ended(instance_id from, messages::claim_end const& it, context& with)
    {
        keeper_.end(it, with.now);
        messages::claim_end_ack const ack{it.record.id, it.record.holder};
        if (from == self_.self.id)
            endings_.acknowledged(from, ack);
        else
            with.send(from, ack);
    }

    void end_acknowledged(instance_id from, messages::claim_end_ack const& it, context&)
    {
        endings_.acknowledged(from, it);
    }

    void pull_asked(instance_id from, messages::claims_pull const& it, context& with)
    {
        watch(with);
        with.send(from, keeper_.page(it, from, with.now));
    }

    void page_arrived(instance_id from, messages::claims_page const& it, context& with)
    {
        bool const before = keeper_.is_recovered();
        if (auto const more = keeper_.merge(it, from, with.now))
            with.send(from, *more);
        if (!before && keeper_.is_recovered())
            with.events.record(recovered, {{"records", std::to_string(keeper_.size())}});
    }

    kernel::service_map const& services_;
    identity const& self_;
    claims_settings const& config_;
    seen_members members_;
    claim_keeper keeper_;
    claim_endings endings_;
    std::map<request_id, asked_claim> asked_;
};

stage_registrar<claims_stage> const entered{"claims", stage_order::claims};

} // namespace

} // namespace mulberryrudder::entry
