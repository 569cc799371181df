#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

struct rollout_settings
{
    per_mille late_share{120};
    per_mille late_from{750};
    per_mille end_at{900};
    per_mille bad_beyond{30};
    std::int64_t bad_times = 4;
    per_mille late_beyond{300};
    requests least_bad{6};
    per_mille least_room{700};
    milliseconds check_period{200};
};

constexpr kernel::limits shares{1, 1000};

kernel::section<rollout_settings> const rollout_section{
    "rollouts",
    {
        kernel::field("late_share", &rollout_settings::late_share, shares,
                      "Thousandths that it gets once it has proved itself."),
        kernel::field("late_from", &rollout_settings::late_from, shares,
                      "Thousandths of the rollout's duration after which late_share holds."),
        kernel::field("end_at", &rollout_settings::end_at, shares,
                      "Thousandths of the rollout's duration after which a good version gets all."),
        kernel::field("bad_beyond", &rollout_settings::bad_beyond, shares,
                      "Thousandths by which a bad version fails more often than the old one."),
        kernel::field("bad_times", &rollout_settings::bad_times, {1, 1000},
                      "How many times as often as the old one a bad version fails at least, so "
                      "that what befalls the targets of both is no reason."),
        kernel::field("late_beyond", &rollout_settings::late_beyond, shares,
                      "Thousandths by which a bad version runs out of time more often; more than "
                      "a good one whose targets hold no objects yet."),
        kernel::field("least_bad", &rollout_settings::least_bad, {1, 1000},
                      "Bad answers before a version is judged."),
        kernel::field("least_room", &rollout_settings::least_room, {0, 1000},
                      "Thousandths of the old version's slots that the new one must have to get "
                      "all; the rollout waits for them, also beyond its time, since the old "
                      "targets stop at its end."),
        kernel::field("check_period", &rollout_settings::check_period, {10, 60'000},
                      "Milliseconds between two looks at a rollout."),
    }};

kernel::event_kind const judged_event{
    {.number = 710,
     .name = "rollout.judged",
     .level = kernel::severity::info,
     .meaning = "A rollout's version gets another share, or the rollout ended.",
     .action = "If it was rolled back, look at the failures of that version's targets."}};

/// Outcomes of one version since its rollout began.
struct tally
{
    std::uint64_t answered = 0;
    std::uint64_t bad = 0;

    std::uint64_t late = 0;

    /// Returns `count` in thousandths of the answers; none without answers.
    std::int64_t per_mille_of(std::uint64_t count) const
    {
        return answered == 0 ? 0 : static_cast<std::int64_t>(count * 1000 / answered);
    }
};

/// Carries rollouts out while this instance leads: a small share first, more once
/// the version has proved itself, and back at once if it fails more than the old one.
///
/// Thread safety: the decision core's thread.
class rollouts final : public component
{
public:
    explicit rollouts(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(rollout_section))
    {
    }

    void following(context&) override { running_.clear(); }

    void tick(context& with) override
    {
        if (with.now < check_due_)
            return;
        check_due_ = with.now + config_.check_period;
        auto& log = services_.require<replicated_log>();
        if (!log.may_act(with.now))
            return;
        auto const state = services_.require<steering_view>().steering();
        count(services_.require<roster_view>().take_outcomes());
        note_base_versions(*state, log);
        for (auto const& [service, versions] : state->versions)
        {
            if (versions.phase == rollout_phase::running)
                judge(service, versions, log, with);
            else
                running_.erase(service);
        }
    }

private:
    struct progress
    {
        instant late_from;
        instant end_at;
        std::map<version_id, tally> tallies;
    };

    void count(std::vector<messages::version_outcomes> const& from)
    {
        for (auto const& it : from)
        {
            auto const found = running_.find(it.service);
            if (found == running_.end())
                continue;
            auto& to = found->second.tallies[it.version];
            to.answered += it.answered;
            to.bad += it.bad;
            to.late += it.late;
        }
    }

    void note_base_versions(steering_state const& state, replicated_log& log)
    {
        if (!state.plan)
            return;
        for (auto const& it : state.plan->services)
        {
            auto const known = state.versions.find(it.id);
            if (known != state.versions.end() && !known->second.base.value().empty())
                continue;
            auto const versions = services_.require<roster_view>().versions_of(it.id);
            if (!versions.empty())
                log.propose(any_message::of(note_base_version{it.id, versions.front()}));
        }
    }

    void judge(service_id const& service, service_versions const& versions, replicated_log& log,
               context& with)
    {
        auto const [found, added] = running_.try_emplace(service);
        auto& it = found->second;
        if (added)
        {
            it.late_from = with.now + versions.duration * config_.late_from.count() / 1000;
            it.end_at = with.now + versions.duration * config_.end_at.count() / 1000;
        }
        auto const& fresh = it.tallies[versions.next];
        auto const& old = it.tallies[versions.base];
        step_rollout next{.service = service, .version = versions.next, .share = versions.share};
        if (is_worse(fresh, old))
        {
            next.phase = rollout_phase::rolled_back;
            next.share = per_mille(0);
        }
        else if (with.now >= it.end_at && has_room(service, versions))
        {
            next.phase = rollout_phase::succeeded;
            next.share = whole_share;
        }
        else if (with.now >= it.late_from)
            next.share = std::max(versions.share, config_.late_share);
        if (next.phase == rollout_phase::running && next.share == versions.share)
            return;
        with.events.record(judged_event,
                           {{"service", service.value()},
                            {"version", versions.next.value()},
                            {"share", std::to_string(next.share.count())},
                            {"phase", std::to_string(static_cast<int>(next.phase))},
                            {"answered", std::to_string(fresh.answered)},
                            {"bad", std::to_string(fresh.bad)},
                            {"late", std::to_string(fresh.late)},
                            {"old_bad_per_mille", std::to_string(old.per_mille_of(old.bad))},
                            {"old_late_per_mille", std::to_string(old.per_mille_of(old.late))}});
        log.propose(any_message::of(std::move(next)));
    }

    /// Pattern: a version that fails, or is far too slow, for a part of its requests only.
    bool is_worse(tally const& fresh, tally const& old) const
    {
        auto const enough = [this](std::uint64_t n)
        { return static_cast<std::int64_t>(n) >= config_.least_bad.count(); };
        auto const more_bad = fresh.per_mille_of(fresh.bad) - old.per_mille_of(old.bad);
        auto const more_late = fresh.per_mille_of(fresh.late) - old.per_mille_of(old.late);
        bool const many_times =
            fresh.per_mille_of(fresh.bad) >= config_.bad_times * old.per_mille_of(old.bad);
        return (enough(fresh.bad) && many_times && more_bad > config_.bad_beyond.count()) ||
               (enough(fresh.late) && more_late > config_.late_beyond.count());
    }

    bool has_room(service_id const& service, service_versions const& versions) const
    {
        auto const& known = services_.require<roster_view>();
        return known.capacity_of(service, versions.next).count() * 1000 >=
               known.capacity_of(service, versions.base).count() * config_.least_room.count();
    }

    kernel::service_map& services_;
    rollout_settings const& config_;
    instant check_due_;
    std::map<service_id, progress> running_;
};

component_registrar<rollouts> const entered{"rollouts", component_order::rollouts};

} // namespace

} // namespace mulberryrudder::control
