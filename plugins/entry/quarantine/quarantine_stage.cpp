#include "permit_book.hpp"
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
/// A notice is sent again, since a message may be lost.
constexpr span repeat_period = milliseconds(100);
constexpr int notice_repeats = 3;

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

kernel::counter_kind const deaths_seen("quarantine.deaths",
                                       "Attempts that ran when their target died.");
kernel::counter_kind const suspects_held("quarantine.suspects",
                                         "Level: requests that are suspected or quarantined here.");

kernel::event_kind const
    suspected({.number = 150,
               .name = "quarantine.suspected",
               .level = kernel::severity::warning,
               .meaning = "A target died while it ran a request; the request runs only alone.",
               .action = "Look at the target's log."});
kernel::event_kind const
    put_in_quarantine({.number = 151,
                       .name = "quarantine.entered",
                       .level = kernel::severity::error,
                       .meaning = "Two targets died of a request; it is refused fleet-wide.",
                       .action = "Mend the target; lift it by `mulberryctl quarantine lift`."});

digest fingerprint_of(request const& what)
{
    std::string buf = what.route.value() + '\n' +
                      std::to_string(static_cast<int>(what.content->method)) + '\n' +
                      what.content->path + '\n' + what.content->body;
    return sha256(buf);
}

/// A suspect's request that waits for its permit or holds it.
struct lone_request
{
    digest fingerprint;
    instance_id arbiter;
    instant give_up;
    bool granted = false;
    bool retry = false; ///< It waits after a failed attempt.
};

/// Refuses requests that targets die of: after one death a request runs only
/// alone, under a permit of the fingerprint's arbiter; after two it is refused.
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

    step admit(request& what, context& with) override
    {
        if (what.origin)
            return proceed{};
        auto const print = fingerprint_of(what);
        if (is_refused(print))
            return refuse(quarantined);
        if (table_.of(print) == suspicion::none)
            return proceed{};
        return ask(what, print, with) ? step(wait{}) : refuse(suspect_waits, suspect_retry);
    }

    /// What became a suspect while it waited needs a permit now.
    step recheck(request const& what, context&) override
    {
        auto const print = fingerprint_of(what);
        if (is_refused(print))
            return refuse(quarantined);
        auto const it = lone_.find(what.id);
        bool const allowed = it != lone_.end() && it->second.granted;
        if (table_.of(print) == suspicion::suspect && !allowed && !what.origin)
            return refuse(suspect_waits, suspect_retry);
        // A hedge beside a lone attempt would let it kill two targets at once.
        auto const running = [](attempt const& one) { return one.running; };
        bool const runs = std::any_of(what.attempts.begin(), what.attempts.end(), running);
        return allowed && runs ? refuse(suspect_waits) : step(proceed{});
    }

    void attempt_ended(request const& what, attempt const& ended, attempt_end const& how,
                       context& with) override
    {
        if (!died(how))
            return;
        with.counters.add(deaths_seen);
        auto const print = fingerprint_of(what);
        std::set<attempt_id> const deaths{ended.id};
        reported_.push_back(print);
        learn(print, deaths, with);
        messages::suspect_notice const notice{print, deaths};
        tell_others(notice, with);
        repeats_.push_back({notice, with.now + repeat_period, notice_repeats});
    }

    /// A request that can be repeated waits for a permit before it runs again.
    recovery recover(request& what, attempt const&, attempt_end const& how, context& with) override
    {
        auto const print = fingerprint_of(what);
        if (is_refused(print))
            return stop{refused{.why = &quarantined, .run = verdict::may_have_run}};
        if (!died(how) || !what.repeatable || what.origin)
            return proceed{};
        release(what.id, with);
        if (!ask(what, print, with))
            return stop{refused{.why = &suspect_waits, .run = verdict::may_have_run}};
        lone_.at(what.id).retry = true;
        return wait{};
    }

    void finished(request const& what, outcome const& how, context& with) override
    {
        auto const it = lone_.find(what.id);
        if (it == lone_.end())
            return;
        if (std::holds_alternative<answered>(how) && it->second.granted)
            clear(it->second.fingerprint, with);
        release(what.id, with);
    }

    void received(envelope const& it, context& with) override
    {
        static std::array const table{on_message<&quarantine_stage::suspect_told>(),
                                      on_message<&quarantine_stage::suspect_freed>(),
                                      on_message<&quarantine_stage::permit_asked>(),
                                      on_message<&quarantine_stage::permit_answered>(),
                                      on_message<&quarantine_stage::permit_returned>()};
        dispatch(*this, table, it, with);
    }

    void report(messages::renew_request& out, context&) override
    {
        out.suspects.insert(out.suspects.end(), reported_.begin(), reported_.end());
        reported_.clear();
    }

    void tick(context& with) override
    {
        permits_.begin(with.now);
        take_own_messages(with);
        repeat_notices(with);
        follow_lifts();
        table_.expire(with.now);
        permits_.expire(with.now);
        with.counters.set(suspects_held, table_.size());
        ask_again(with);
    }

private:
    fleet_view const& fleet() const { return services_.require<fleet_view>(); }

    /// A connection that ended in the middle of a request counts as the target's
    /// death. A request that a target merely dropped is cleared by its next success.
    static bool died(attempt_end const& how)
    {
        return how.failed == attempt_failure::closed && how.run == verdict::may_have_run;
    }

    bool is_refused(digest const& print) const
    {
        return table_.of(print) == suspicion::quarantined ||
               fleet().config().quarantined.contains(print);
    }

    void repeat_notices(context& with)
    {
        for (auto& it : repeats_)
        {
            if (with.now < it.next)
                continue;
            tell_others(it.notice, with);
            it.next = with.now + repeat_period;
            --it.left;
        }
        std::erase_if(repeats_, [](auto const& it) { return it.left == 0; });
    }

    void learn(digest const& print, std::set<attempt_id> const& deaths, context& with)
    {
        auto const before = table_.of(print);
        if (!table_.add(print, deaths, with.now) || table_.of(print) == before)
            return;
        bool const refused_now = table_.of(print) == suspicion::quarantined;
        with.events.record(refused_now ? put_in_quarantine : suspected,
                           {{"fingerprint", to_hex(print)}});
    }

    void clear(digest const& print, context& with)
    {
        auto const deaths = table_.deaths_of(print);
        table_.clear(print, deaths, with.now);
        tell_others(messages::suspect_cleared{print, deaths}, with);
    }

    template <class T>
    void tell_others(T const& what, context& with) const
    {
        for (auto const& it : fleet().members())
            if (it.where.id != self_)
                with.send(it.where.id, what);
    }

    /// An operator's lift ends the quarantine here too.
    void follow_lifts()
    {
        auto const& now = fleet().config().quarantined;
        for (auto const& it : known_)
            if (!now.contains(it))
                table_.lift(it);
        known_ = now;
    }

    /// The live member with the highest score decides who runs alone.
    std::optional<instance_id> arbiter_of(digest const& print) const
    {
        std::optional<instance_id> out;
        std::size_t best = 0;
        for (auto const& it : fleet().members())
        {
            auto score = std::hash<digest>{}(print);
            boost::hash_combine(score, it.where.id.value());
            if (!it.live || (out && score <= best))
                continue;
            out = it.where.id;
            best = score;
        }
        return out;
    }

    bool ask(request const& what, digest const& print, context& with)
    {
        auto const arbiter = arbiter_of(print);
        if (!arbiter || !fleet().lease_live(with.now))
            return false;
        lone_[what.id] = {.fingerprint = print,
                          .arbiter = *arbiter,
                          .give_up = std::min(what.deadline, with.now + span(config_.permit_wait))};
        ask_next(with);
        return true;
    }

    /// Suspects of this instance run one after the other, so that a request which
    /// merely ran beside the guilty one does not do so twice.
    void ask_next(context& with)
    {
        auto const is_granted = [](auto const& it) { return it.second.granted; };
        if (lone_.empty() || std::any_of(lone_.begin(), lone_.end(), is_granted))
            return;
        auto const& id = lone_.begin()->first;
        if (auto const* const what = with.flow.find(id))
            send_ask(*what, with);
    }

    /// Sends to another instance; what is for this one waits for the next tick.
    template <class T>
    void deliver(instance_id to, T what, context& with)
    {
        if (to != self_)
            return with.send(to, std::move(what));
        own_.push_back({.from = self_, .to = self_, .body = any_message::of(std::move(what))});
    }

    void take_own_messages(context& with)
    {
        auto const taken = std::exchange(own_, {});
        for (auto const& it : taken)
            received(it, with);
    }

    void send_ask(request const& what, context& with)
    {
        auto const& it = lone_.at(what.id);
        messages::permit_request asked{.fingerprint = it.fingerprint,
                                       .request = what.id,
                                       .deaths = table_.deaths_of(it.fingerprint),
                                       .run_within = what.deadline - with.now};
        deliver(it.arbiter, std::move(asked), with);
    }

    void ask_again(context& with)
    {
        std::vector<request_id> overdue;
        for (auto const& [id, it] : lone_)
            if (!it.granted && it.give_up <= with.now)
                overdue.push_back(id);
        for (auto const& id : overdue)
            with.flow.finish(id, refused{.why = &suspect_waits, .retry_after = suspect_retry});
        ask_next(with);
    }

    void release(request_id id, context& with)
    {
        auto const it = lone_.find(id);
        if (it == lone_.end())
            return;
        deliver(it->second.arbiter, messages::permit_end{it->second.fingerprint, id}, with);
        lone_.erase(it);
    }

    void suspect_told(instance_id, messages::suspect_notice const& it, context& with)
    {
        learn(it.fingerprint, it.deaths, with);
    }

    void suspect_freed(instance_id, messages::suspect_cleared const& it, context& with)
    {
        table_.clear(it.fingerprint, it.deaths, with.now);
    }

    void permit_asked(instance_id from, messages::permit_request const& it, context& with)
    {
        learn(it.fingerprint, it.deaths, with);
        bool const may =
            !is_refused(it.fingerprint) &&
            permits_.grant(it.fingerprint, it.request, with.now + it.run_within, with.now);
        messages::permit_answer answer{.fingerprint = it.fingerprint,
                                       .request = it.request,
                                       .granted = may,
                                       .deaths = table_.deaths_of(it.fingerprint)};
        deliver(from, std::move(answer), with);
    }

    void permit_answered(instance_id, messages::permit_answer const& it, context& with)
    {
        learn(it.fingerprint, it.deaths, with);
        auto const found = lone_.find(it.request);
        if (found == lone_.end() || found->second.granted)
            return;
        if (is_refused(it.fingerprint))
            return with.flow.finish(it.request, refused{.why = &quarantined});
        if (!it.granted)
            return;
        found->second.granted = true;
        if (found->second.retry)
            with.flow.resume_from(it.request, "versions");
        else
            with.flow.resume(it.request);
    }

    void permit_returned(instance_id, messages::permit_end const& it, context&)
    {
        permits_.give_back(it.fingerprint, it.request);
    }

    kernel::service_map const& services_;
    instance_id self_;
    quarantine_settings const& config_;
    suspect_table table_;
    permit_book permits_;
    std::map<request_id, lone_request> lone_;
    /// A notice that is sent some more times.
    struct repeated_notice
    {
        messages::suspect_notice notice;
        instant next;
        int left;
    };

    std::vector<repeated_notice> repeats_;
    std::vector<envelope> own_;    ///< Messages to this instance itself.
    std::vector<digest> reported_; ///< Deaths since the last renewal.
    std::set<digest> known_;       ///< Quarantined by the last configuration seen.
};

stage_registrar<quarantine_stage> const entered{"quarantine", stage_order::quarantine};

} // namespace

} // namespace mulberryrudder::entry
