#include "candidates.hpp"
#include "object_homes.hpp"
#include "recent_objects.hpp"
#include "region_split.hpp"
#include "target_loads.hpp"
#include "warm_up_gate.hpp"

#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>
#include <set>

namespace mulberryrudder::entry
{

namespace
{

struct placement_settings
{
    target_count homes{2};
    object_count objects{14};
    per_mille queue_part{600};
    per_mille overflow{40};
    milliseconds return_after{400};
    milliseconds return_spread{600};
};

kernel::section<placement_settings> const placement_section{
    "placement",
    {
        kernel::field(
            "homes", &placement_settings::homes, {1, 64},
            "Targets of each region on which an object is kept warm; the second takes what the "
            "first has no room for."),
        kernel::field("objects", &placement_settings::objects, {1, 100'000},
                      "Objects that a target keeps warm, with some room; beyond that, objects "
                      "drive each other out."),
        kernel::field("queue_part", &placement_settings::queue_part, {0, 10'000},
                      "Thousandths of a target's slots that may wait there beyond them."),
        kernel::field("overflow", &placement_settings::overflow, {0, 1000},
                      "Thousandths of the requests that may leave their region beyond its split."),
        kernel::field("return_after", &placement_settings::return_after, {0, 60'000},
                      "Milliseconds for which a caller without room is asked to wait."),
        kernel::field("return_spread", &placement_settings::return_spread, {0, 60'000},
                      "Milliseconds over which such callers' returns are spread."),
    }};

refusal_kind const no_room({.name = "no_room",
                            .counter_name = "refused.no_room",
                            .status = 503,
                            .meaning = "No target has room to answer the request in time."});

/// One part of so many of a region's targets may be doubted and left alone.
constexpr std::size_t most_doubted_divisor = 3;

kernel::event_kind const avoided_event{
    {.number = 320,
     .name = "targets.avoided",
     .level = kernel::severity::info,
     .meaning = "This instance keeps requests off a target for a while: it cannot be reached "
                "(`lost`), or it answers badly or not at all.",
     .action = "If many instances avoid one target, look at that target."}};

/// Part of the time left within which a queued request must be expected to end.
constexpr double time_part = 0.85;
/// Weight of the newest attempt in a route's moving average of service times.
constexpr double newest_part = 0.1;
/// Overflow to other regions that quiet times save up.
constexpr millitokens most_overflow{3000};

/// Chooses the target of each attempt: the first of an object's homes in the region
/// that has room; a stable part of the objects of a region without enough room is
/// served in another one.
///
/// Patterns: work that is faster where its object was handled lately; targets that
/// cannot carry all work cold; a region with too little room.
///
/// Thread safety: as stage.
class placement_stage final : public stage
{
public:
    explicit placement_stage(stage_parts const& parts)
        : config_(parts.config.get(placement_section)), services_(parts.services), self_(parts.self)
    {
    }

    step admit(request& what, context& with) override
    {
        if (what.planned == nullptr)
            return proceed{};
        if (what.service.value().empty())
            what.service = drawn_service(*what.planned, with);
        if (what.planned->sticky && what.attempts.empty())
            objects_[what.service].note(what.object, with.now);
        asked_.insert(what.service);
        auto const* const versions = versions_for(what);
        std::vector<candidate> found;
        candidate const* chosen = nullptr;
        if (draws_newer(versions, with))
        {
            found = candidates_of(what, versions, true, with);
            keep_trial_targets(found, versions->share);
            chosen = choose(what, found, with.now);
        }
        if (chosen == nullptr)
        {
            found = candidates_of(what, versions, false, with);
            chosen = choose(what, found, with.now);
        }
        if (chosen == nullptr)
        {
            what.why = reason_text(found);
            return refuse_for_now(with);
        }
        auto const& it = chosen->target->what;
        if (chosen->target->cold_until > with.now)
            gate_.take(it.id);
        what.version = it.version;
        what.chosen = chosen_target{.id = it.id,
                                    .where = it.where,
                                    .version = it.version,
                                    .most_connections = most_connections(what)};
        return proceed{};
    }

    void attempt_started(request const&, attempt const& it, context&) override
    {
        loads_.started(it.target.id);
    }

    void attempt_ended(request const& what, attempt const& it, attempt_end const& how,
                       context& with) override
    {
        // A caller that left says nothing of the target, a deadline does.
        bool const judged = how.failed != attempt_failure::cancelled || with.now >= what.deadline;
        auto const listed = view().targets().find(it.target.id);
        auto const capacity =
            listed == view().targets().end() ? slots(1) : listed->second.what.capacity;
        bool const sound = !is_avoided(it.target.id, with.now);
        loads_.ended(it.target.id, how, judged, capacity, it.started, with.now);
        if (sound && is_avoided(it.target.id, with.now))
            with.events.record(
                avoided_event,
                {{"target", it.target.id.value()},
                 {"cause", std::string(how.failed ? to_string(*how.failed) : "bad replies")},
                 {"request", what.caller_reference},
                 {"lost", loads_.is_lost(it.target.id, with.now, with.now) ? "true" : "false"}});
        if (how.failed)
            return;
        auto& average = service_times_[what.route];
        auto const took = static_cast<double>((with.now - it.started).count());
        average = average == 0 ? took : average * (1 - newest_part) + took * newest_part;
    }

    void tick(context& with) override
    {
        if (with.now < split_due_)
            return;
        split_due_ = with.now + region_split::step_period;
        for (auto& [service, it] : objects_)
            it.expire(with.now);
        loads_.set_senders(senders());
        update_splits(with.now);
        gate_.forget_all_but(view().targets(), with.now);
    }

private:
    bool is_avoided(target_id const& id, instant now) const
    {
        return loads_.is_lost(id, now, now) || loads_.is_doubted(id, now);
    }

    plan_view& view() { return services_.require<plan_view>(); }

    service_id drawn_service(plan_route const& route, context& with) const
    {
        if (route.services.size() == 1)
            return route.services.front().service;
        std::int64_t sum = 0;
        for (auto const& it : route.services)
            sum += it.part.count();
        std::uniform_int_distribution<std::int64_t> draw(0, sum - 1);
        auto left = draw(with.random);
        for (auto const& it : route.services)
        {
            if (left < it.part.count())
                return it.service;
            left -= it.part.count();
        }
        return route.services.back().service;
    }

    plan_service const* planned_service(request const& what) const
    {
        for (auto const& it : what.steering->plan->services)
            if (it.id == what.service)
                return &it;
        return nullptr;
    }

    connections most_connections(request const& what)
    {
        auto const* const service = planned_service(what);
        auto const all = service == nullptr ? 1 : service->most_connections.count();
        return connections(std::max<std::int64_t>(all / view().entries(), 1));
    }

    /// Returns the versions of the service that this request may run on: that of a
    /// running rollout for its share of the requests, else the one that carries it.
    static bool is_allowed_version(service_versions const* versions, bool newer,
                                   version_id const& it)
    {
        if (versions == nullptr || versions->base.value().empty())
            return true;
        if (versions->phase == rollout_phase::running && newer)
            return it == versions->next;
        return it == versions->base;
    }

    bool may_serve(request const& what, region_id const& region) const
    {
        auto const fits = [&](std::set<region_id> const& homes)
        { return homes.empty() || homes.contains(region); };
        return fits(what.planned->homes) && (what.payer == nullptr || fits(what.payer->homes));
    }

    /// A domain that the settings do not name counts as a region of its own.
    region_id region_of(domain_id const& domain) const
    {
        auto const it = self_.regions.find(domain);
        return it == self_.regions.end() ? region_id(domain.value()) : it->second;
    }

    /// Returns the versions of the request's service; null if none are told apart.
    service_versions const* versions_for(request const& what)
    {
        auto const& all = view().steering()->versions;
        auto const found = all.find(what.service);
        return found == all.end() ? nullptr : &found->second;
    }

    /// Draws whether a request goes to the version that is being rolled out.
    static bool draws_newer(service_versions const* versions, context& with)
    {
        if (versions == nullptr || versions->phase != rollout_phase::running)
            return false;
        std::uniform_int_distribution<std::int64_t> draw(0, whole_share.count() - 1);
        return draw(with.random) < versions->share.count();
    }

    std::vector<candidate> candidates_of(request const& what, service_versions const* versions,
                                         bool newer, context& with)
    {
        auto const* const service = planned_service(what);
        std::vector<candidate> out;
        for (auto const& [id, it] : view().targets())
        {
            auto const& told = it.what;
            if (told.service != what.service || !is_usable(it, what, service, with) ||
                !is_allowed_version(versions, newer, told.version))
                continue;
            auto const region = region_of(told.domain);
            if (!may_serve(what, region))
                continue;
            out.push_back({.target = &it,
                           .where = nearness_of(told.domain, region),
                           .region = region,
                           .score = score_of(what, told),
                           .rank = 0,
                           .busy = loads_.busy(id, with.now)});
        }
        drop_doubted(out, with.now);
        rank_within_regions(out);
        return out;
    }

    /// Keeps requests off doubted targets where most of their region's are sound. A region
    /// whose targets all look bad keeps them: its requests must not move away at once.
    void drop_doubted(std::vector<candidate>& all, instant now) const
    {
        std::map<region_id, std::pair<std::size_t, std::size_t>> counts; // Doubted, all.
        auto const doubted = [&](candidate const& it)
        { return loads_.is_doubted(it.target->what.id, now); };
        for (auto const& it : all)
        {
            auto& [bad, sum] = counts[it.region];
            bad += doubted(it);
            ++sum;
        }
        std::erase_if(all,
                      [&](candidate const& it)
                      {
                          auto const& [bad, sum] = counts.at(it.region);
                          return bad * most_doubted_divisor <= sum && doubted(it);
                      });
    }

    bool is_usable(listed_target const& it, request const& what, plan_service const* service,
                   context& with)
    {
        auto const& told = it.what;
        if (told.standing != messages::target_standing::serving ||
            view().steering()->evacuated.contains(told.domain) ||
            loads_.is_lost(told.id, it.learned, with.now))
            return false;
        auto const same = [&](attempt const& each) { return each.target.id == told.id; };
        if (std::any_of(what.attempts.begin(), what.attempts.end(), same))
            return false;
        if (it.cold_until <= with.now || service == nullptr)
            return true;
        return told.domain == self_.self.domain &&
               gate_.has_room(told.id, *service, view().entries_in_domain(), with.now);
    }

    nearness nearness_of(domain_id const& domain, region_id const& region) const
    {
        if (domain == self_.self.domain)
            return nearness::own_domain;
        return region == self_.self.region ? nearness::own_region : nearness::elsewhere;
    }

    double score_of(request const& what, messages::target_notice const& it)
    {
        return warms(what) ? home_score(what.object, it.id, it.capacity) : 0;
    }

    /// Returns whether targets are faster on the request if they handled its object lately.
    static bool warms(request const& what)
    {
        return what.planned->sticky && !what.object.value().empty();
    }

    candidate const* choose(request const& what, std::vector<candidate>& found, instant now)
    {
        if (found.empty())
            return nullptr;
        auto const here = static_cast<std::size_t>(
            std::count_if(found.begin(), found.end(),
                          [](candidate const& it) { return it.where != nearness::elsewhere; }));
        score_regions(found, what.object);
        bool const stays = stays_in_region(what, found, here);
        choice_order const how{
            .warms = warms(what), .stays = stays, .homes = homes_of(what.service, here)};
        overflow_.add(millitokens(config_.overflow.count()));
        if (overflow_.tokens() > most_overflow)
            overflow_.take(overflow_.tokens() - most_overflow);
        order_by_nearness(found, how);
        auto const* const free = first_with_room(found, how);
        bool const is_home = free != nullptr && (!how.warms || free->rank < how.homes);
        if (is_home && is_preferred(*free, how))
            return free;
        // A slot of a home that holds the object comes free sooner than the work is done
        // where it is not held.
        auto const in_time = [&](candidate const& it) { return ends_in_time(what, it, now); };
        if (auto const* const home = shortest_queue(found, how, config_.queue_part, in_time))
            return home;
        if (free == nullptr || is_preferred(*free, how) || overflow_.take(request_cost))
            return free;
        return nullptr;
    }

    bool stays_in_region(request const& what, std::vector<candidate> const& found, std::size_t here)
    {
        if (here == 0 || here == found.size())
            return here != 0;
        auto const split = splits_.find(what.service);
        auto const part = split == splits_.end() ? 1.0 : split->second.own_part();
        if (fraction_for(what) < part)
            return true;
        // What no region serves for itself alone is gathered in one, which may be this one.
        return warms(what) && gathering_region(found) == self_.self.region;
    }

    double fraction_for(request const& what)
    {
        if (!what.object.value().empty())
            return object_fraction(what.object, "region");
        return object_fraction(object_id(std::to_string(what.id.value())), "region");
    }

    bool ends_in_time(request const& what, candidate const& it, instant now) const
    {
        auto const known = service_times_.find(what.route);
        auto const each = known == service_times_.end()
                              ? static_cast<double>(span(what.planned->aim).count())
                              : known->second;
        auto const capacity = capacity_of(it);
        auto const expected = each * (1 + std::max(it.busy + 1 - capacity, 0.0) / capacity);
        return expected < time_part * static_cast<double>((what.deadline - now).count());
    }

    static std::string reason_text(std::vector<candidate> const& found)
    {
        if (found.empty())
            return "no target may take it";
        auto const& first = found.front();
        return "targets=" + std::to_string(found.size()) +
               " first=" + first.target->what.id.value() +
               " busy=" + std::to_string(static_cast<int>(first.busy)) + "/" +
               std::to_string(first.target->what.capacity.count());
    }

    step refuse_for_now(context& with) const
    {
        std::uniform_int_distribution<std::int64_t> spread(0, config_.return_spread.count());
        return refuse(no_room, config_.return_after + milliseconds(spread(with.random)));
    }

    /// Returns how many entry instances the own region has, if they are spread evenly.
    double senders()
    {
        auto const near =
            std::count_if(self_.regions.begin(), self_.regions.end(),
                          [this](auto const& it) { return it.second == self_.self.region; });
        if (near == 0)
            return 1;
        return std::max(1.0, static_cast<double>(view().entries() * near) /
                                 static_cast<double>(self_.regions.size()));
    }

    /// Returns on how many targets of a region an object is kept: on as many as the
    /// targets can keep of all the objects that were asked for lately.
    std::size_t homes_of(service_id const& service, std::size_t targets) const
    {
        auto const most = static_cast<std::size_t>(config_.homes.count());
        auto const seen = objects_.find(service);
        if (seen == objects_.end() || seen->second.count() == 0)
            return most;
        auto const kept = targets * static_cast<std::size_t>(config_.objects.count());
        return std::clamp<std::size_t>(kept / seen->second.count(), 1, most);
    }

    /// Returns the part of the objects asked for lately that so many targets keep warm.
    double kept_part(service_id const& service, std::int64_t targets) const
    {
        auto const seen = objects_.find(service);
        if (seen == objects_.end() || seen->second.count() == 0)
            return 1;
        return static_cast<double>(targets * config_.objects.count()) /
               static_cast<double>(seen->second.count());
    }

    void update_splits(instant now)
    {
        std::map<service_id, std::map<region_id, region_room>> rooms;
        std::map<service_id, std::int64_t> here; // Targets in the own region.
        for (auto const& [id, it] : view().targets())
        {
            auto const& told = it.what;
            if (told.standing != messages::target_standing::serving || it.cold_until > now ||
                (view().steering() && view().steering()->evacuated.contains(told.domain)))
                continue;
            auto& room = rooms[told.service][region_of(told.domain)];
            if (region_of(told.domain) == self_.self.region)
                ++here[told.service];
            room.capacity += told.capacity;
            room.busy += loads_.busy(id, now);
        }
        for (auto const& [service, regions] : rooms)
        {
            auto& split = splits_[service];
            // Before the first request nothing is bound to what was known of the targets.
            if (!asked_.contains(service))
                split = region_split();
            split.update(self_.self.region, regions, kept_part(service, here[service]), now);
        }
    }

    placement_settings const& config_;
    kernel::service_map& services_;
    identity const& self_;
    target_loads loads_;
    warm_up_gate gate_;
    std::map<service_id, region_split> splits_;
    std::set<service_id> asked_; ///< Services that a request went to.
    std::map<service_id, recent_objects> objects_;
    std::map<route_id, double> service_times_; ///< Microseconds, moving averages.
    token_bucket overflow_;
    instant split_due_;
};

stage_registrar<placement_stage> const entered{"placement", stage_order::placement};

} // namespace

} // namespace mulberryrudder::entry
