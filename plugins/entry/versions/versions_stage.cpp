#include "route_versions.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/entry/target_directory.hpp>

namespace mulberryrudder::entry
{

namespace
{

struct versions_settings
{
    std::int64_t false_alarm_outcomes = 1'000'000;
    requests warm_up{30};
};

kernel::section<versions_settings> const versions_section{
    "versions",
    {
        kernel::field(
            "false_alarm_outcomes", &versions_settings::false_alarm_outcomes, {100, 1'000'000'000},
            "Outcomes of a version as good as the old one up to a false withdrawal, in the mean "
            "and at least."),
        kernel::field(
            "warm_up", &versions_settings::warm_up, {0, 1'000'000},
            "First replies of a new version on a route whose latency is not judged here."),
    }};

refusal_kind const
    version_withdrawn({.name = "version_withdrawn",
                       .counter_name = "refused.version_withdrawn",
                       .status = 503,
                       .meaning = "The version that the request waited for was withdrawn."});

kernel::counter_kind const sent_to_next("versions.sent_to_next",
                                        "Sendings to the version that a move leads to.");
kernel::counter_kind const kept_on_old(
    "versions.next_unusable",
    "Requests kept on the old version because the new one was withdrawn here or has no target.");
kernel::counter_kind const trips("versions.tripped",
                                 "Versions that this instance withdrew by itself, per route.");

kernel::event_kind const
    version_tripped({.number = 180,
                     .name = "version.tripped",
                     .level = kernel::severity::warning,
                     .meaning = "This instance sends no more requests to a new version, which "
                                "did worse than the old one on the same route.",
                     .action = "See `mulberryctl explain` of the move; mend the version before "
                               "the next move."});

/// Chooses the target version of each request, and withdraws a bad one at once.
///
/// Thread safety: the decision core's thread.
class versions_stage final : public stage
{
public:
    explicit versions_stage(stage_parts const& parts)
        : services_(parts.services), judging_(judging(parts.config.get(versions_section)))
    {
    }

    step admit(request& what, context& with) override
    {
        auto const* const route = config_of(what.route);
        if (route == nullptr)
            return proceed{};
        what.version = route->version;
        auto* const moving = state_of(what.route, *route);
        if (moving == nullptr)
            return proceed{};
        if (moving->is_tripped() || !has_target(what.route, moving->next_version()))
            with.counters.add(kept_on_old);
        else if (moving->shares().take_place(what.id))
            what.version = moving->next_version();
        return proceed{};
    }

    /// A request that waits while its version is withdrawn does not go there. What
    /// another instance forwarded was counted there.
    step recheck(request const& what, context&) override
    {
        auto const* const route = config_of(what.route);
        if (route == nullptr || what.version == route->version || what.version == version_id{})
            return proceed{};
        auto* const moving = state_of(what.route, *route);
        if (moving == nullptr || moving->next_version() != what.version)
            return was_next(what) ? refuse(version_withdrawn) : proceed{};
        if (moving->is_tripped())
            return refuse(version_withdrawn);
        auto& shares = moving->shares();
        bool const fits = what.origin || shares.holds_place(what.id) || shares.fits();
        return fits ? proceed{} : refuse(version_withdrawn);
    }

    void attempt_started(request const& what, attempt const& started, context& with) override
    {
        auto* const moving = state_of(what.route);
        if (moving == nullptr || what.origin)
            return;
        bool const to_new = started.target.version == moving->next_version();
        moving->shares().sent(what.id, to_new);
        if (to_new)
            with.counters.add(sent_to_next);
    }

    void attempt_ended(request const& what, attempt const& ended, attempt_end const& how,
                       context& with) override
    {
        auto* const moving = state_of(what.route);
        auto const seen = judged(what, ended, how, with.now);
        if (moving == nullptr || !seen || !moving->observe(ended.target.version, *seen))
            return;
        with.counters.add(trips);
        with.events.record(version_tripped,
                           {{"route", what.route.value()},
                            {"version", moving->next_version().value()},
                            {"cause", moving->judge().failed_too_often() ? "failures" : "latency"},
                            {"evidence", std::to_string(moving->judge().evidence())}});
    }

    /// A retry goes to the old version: its place of the new one is used up.
    recovery recover(request& what, attempt const&, attempt_end const&, context&) override
    {
        if (auto const* const route = config_of(what.route); route != nullptr && !what.origin)
            what.version = route->version;
        return proceed{};
    }

    void finished(request const& what, outcome const&, context&) override
    {
        auto* const moving = state_of(what.route);
        if (moving == nullptr || what.origin)
            return;
        bool const elsewhere = what.attempts.empty() && what.run_elsewhere != verdict::not_run;
        if (elsewhere)
            moving->shares().sent(what.id, moving->shares().holds_place(what.id));
        else
            moving->shares().give_back(what.id);
    }

    void report(messages::renew_request& out, context&) override
    {
        for (auto& [route, moving] : moving_)
            moving.report(route, out.observations);
    }

private:
    static version_judge::options judging(versions_settings const& from)
    {
        return {.false_alarm_outcomes = from.false_alarm_outcomes, .warm_up = from.warm_up};
    }

    /// Returns what an attempt's end says of its version; nothing if it is not the
    /// version's doing. A reply that never came counts once its deadline passed.
    static std::optional<version_outcome> judged(request const& what, attempt const& ended,
                                                 attempt_end const& how, instant now)
    {
        version_outcome out{.took = now - ended.started};
        if (!how.failed)
        {
            out.failed = how.content != nullptr && how.content->status >= 500;
            return out;
        }
        out.failed = true;
        switch (*how.failed)
        {
        case attempt_failure::closed:
        case attempt_failure::timeout:
        case attempt_failure::malformed:
            return out;
        case attempt_failure::cancelled:
            return now >= what.deadline ? std::optional(out) : std::nullopt;
        case attempt_failure::connect_refused:
        case attempt_failure::connect_timeout:
        case attempt_failure::shed:
        case attempt_failure::misdirected:
            break;
        }
        return std::nullopt;
    }

    bool has_target(route_id const& route, version_id const& version) const
    {
        auto const* const targets = services_.find<target_directory>();
        return targets == nullptr || !targets->usable(route, version).empty();
    }

    route_config const* config_of(route_id const& id) const
    {
        auto const& config = services_.require<fleet_view>().config();
        auto const it = config.routes.find(id);
        return it == config.routes.end() ? nullptr : &it->second;
    }

    route_versions* state_of(route_id const& id)
    {
        auto const* const route = config_of(id);
        return route == nullptr ? nullptr : state_of(id, *route);
    }

    /// Returns the state of the route's move, brought up to date; null without a move.
    route_versions* state_of(route_id const& id, route_config const& route)
    {
        auto it = moving_.find(id);
        if (it != moving_.end() && !it->second.is_of(route))
        {
            withdrawn_[id] = it->second.next_version();
            moving_.erase(it);
            it = moving_.end();
        }
        if (route.next == version_id{})
            return nullptr;
        if (it == moving_.end())
            it = moving_.try_emplace(id, judging_, route).first;
        it->second.follow(route);
        return &it->second;
    }

    bool was_next(request const& what) const
    {
        auto const it = withdrawn_.find(what.route);
        return it != withdrawn_.end() && it->second == what.version;
    }

    kernel::service_map const& services_;
    version_judge::options judging_;
    std::map<route_id, route_versions> moving_;
    std::map<route_id, version_id> withdrawn_; ///< The version that the last move led to.
};

stage_registrar<versions_stage> const entered{"versions", stage_order::versions};

} // namespace

} // namespace mulberryrudder::entry
