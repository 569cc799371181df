#include "candidates.hpp"
#include "object_homes.hpp"
#include "recent_objects.hpp"
#include "region_split.hpp"
#include "target_loads.hpp"
#include "target_pauses.hpp"
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
    per_mille queue_ratio{600};
    per_mille overflow{40};
    milliseconds retry_after{400};
    milliseconds retry_spread{600};
    milliseconds max_pause{1'000'000'000};
};

kernel::section<placement_settings> const placement_section{
    "placement",
    {
        kernel::field(
            "homes", &placement_settings::homes, {1, 64},
            "Targets of each region that keep an object warm; the second gets the requests "
            "for which the first has no free slot."),
        kernel::field(
            "objects", &placement_settings::objects, {1, 100'000},
            "Objects that a target keeps warm, with some reserve; with more objects, they "
            "evict each other."),
        kernel::field("queue_part", &placement_settings::queue_ratio, {0, 10'000},
                      "Limit of the requests that wait at a target, in thousandths of its slots."),
        kernel::field("overflow", &placement_settings::overflow, {0, 1000},
                      "Limit of the requests sent to another region in addition to the region's "
                      "split, in thousandths."),
        kernel::field(
            "return_after", &placement_settings::retry_after, {0, 60'000},
            "Minimum retry delay in milliseconds for callers that are refused for lack of "
            "free slots."),
        kernel::field("return_spread", &placement_settings::retry_spread, {0, 60'000},
                      "Range in milliseconds of the random addition to that delay."),
        kernel::field("most_pause", &placement_settings::max_pause, {1000, 1'000'000'000},
                      "Limit in milliseconds of the time for which a target that turns requests "
                      "away may ask to get none; it counts as this long if it asks for more."),
    }};

kernel::counter_kind const pauses_counter{
    "placement.pauses", "Replies in which a target asked to get no requests for some time."};

refusal_kind const no_room({.name = "no_room",
                            .counter_name = "refused.no_room",
                            .status = 503,
                            .meaning = "No target has room to answer the request in time."});

/// Ejected targets get no requests while at most one in this many of their region's targets is
/// ejected.
constexpr std::size_t ejected_divisor = 3;

kernel::event_kind const ejected_event{
    {.number = 320,
     .name = "targets.avoided",
     .level = kernel::severity::info,
     .meaning = "This instance ejects a target for a limited time: connections to it fail "
                "(`lost`), or too many of its attempts fail or time out.",
     .action = "If many instances eject the same target, examine that target."}};

/// Fraction of the remaining time within which a queued request must be expected to end.
constexpr double deadline_fraction = 0.85;
/// Weight of the newest attempt in a route's moving average of service times.
constexpr double newest_weight = 0.1;
/// Limit of the unused budget for requests to other regions beyond the split.
constexpr millitokens max_overflow_burst{3000};

/// Selects the target of each attempt: the first of an object's homes in this region that
/// has a free slot. If the region has too few slots, a stable fraction of the objects is
/// served in another region.
///
/// Handles work that is faster on targets that handled the same object lately, targets whose
/// capacity does not suffice while they are cold, and regions with too few slots.
///
/// Thread safety: as stage.
class placement_stage final : public stage
{
public:
    explicit placement_stage(stage_parts const& parts)
        : config_(parts.config.get(placement_section)), services_(parts.services),
          self_(parts.self), pauses_(config_.max_pause)
    {
    }

    step admit(request& req, context& ctx) override
    {
        if (req.planned == nullptr)
            return proceed{};
        if (req.service.value().empty())
            req.service = draw_service(*req.planned, ctx);
        if (req.planned->sticky && req.attempts.empty())
            objects_[req.service].record(req.object, ctx.now);
        requested_services_.insert(req.service);
        auto const* const versions = versions_for(req);
        std::vector<candidate> found;
        candidate const* chosen = nullptr;
        if (draw_next_version(versions, ctx))
        {
            found = candidates_of(req, versions, true, ctx);
            keep_canary_targets(found, versions->share);
            chosen = choose_target(req, found, ctx.now);
        }
        if (chosen == nullptr)
        {
            found = candidates_of(req, versions, false, ctx);
            chosen = choose_target(req, found, ctx.now);
        }
        if (chosen == nullptr)
        {
            req.why = reason_text(found);
            return refuse(no_room, retry_delay(found, ctx));
        }
        auto const& notice = chosen->listed->what;
        if (chosen->listed->cold_until > ctx.now)
            gate_.acquire(notice.id);
        req.version = notice.version;
        req.chosen = chosen_target{.id = notice.id,
                                   .where = notice.where,
                                   .version = notice.version,
                                   .most_connections = max_connections(req),
                                   .start = notice.start};
        return proceed{};
    }

    void attempt_started(request const&, attempt const& sent, context&) override
    {
        loads_.started(sent.target.id);
    }

    void attempt_ended(request const& req, attempt const& sent, attempt_end const& result,
                       context& ctx) override
    {
        // A cancellation by the caller says nothing about the target's health; a missed
        // deadline does.
        bool const counts_for_health =
            result.failed != attempt_failure::cancelled || ctx.now >= req.deadline;
        auto const listed = view().targets().find(sent.target.id);
        auto const capacity =
            listed == view().targets().end() ? slots(1) : listed->second.what.capacity;
        if (result.wishes.pause)
        {
            ctx.counters.add(pauses_counter);
            pauses_.record(sent.target.id, sent.target.start, *result.wishes.pause, ctx.now);
        }
        bool const was_available = !is_unavailable(sent.target.id, ctx.now);
        loads_.ended(sent.target.id, result, counts_for_health, capacity, sent.started, ctx.now);
        if (was_available && is_unavailable(sent.target.id, ctx.now))
            ctx.events.record(
                ejected_event,
                {{"target", sent.target.id.value()},
                 {"cause", std::string(result.failed ? to_string(*result.failed) : "bad replies")},
                 {"request", req.caller_reference},
                 {"lost",
                  loads_.is_unreachable(sent.target.id, ctx.now, ctx.now) ? "true" : "false"}});
        if (result.failed)
            return;
        auto& average = service_times_[req.route];
        auto const elapsed = static_cast<double>((ctx.now - sent.started).count());
        average = average == 0 ? elapsed : average * (1 - newest_weight) + elapsed * newest_weight;
    }

    void tick(context& ctx) override
    {
        if (ctx.now < next_split_update_)
            return;
        next_split_update_ = ctx.now + region_split::step_interval;
        for (auto& [service, it] : objects_)
            it.expire(ctx.now);
        loads_.set_instance_count(instances_in_region());
        update_splits(ctx.now);
        gate_.remove_warm(view().targets(), ctx.now);
        pauses_.expire(view().targets(), ctx.now);
    }

private:
    bool is_unavailable(target_id const& id, instant now) const
    {
        return loads_.is_unreachable(id, now, now) || loads_.is_ejected(id, now);
    }

    plan_view& view() { return services_.require<plan_view>(); }

    service_id draw_service(plan_route const& route, context& ctx) const
    {
        if (route.services.size() == 1)
            return route.services.front().service;
        std::int64_t total = 0;
        for (auto const& it : route.services)
            total += it.part.count();
        std::uniform_int_distribution<std::int64_t> draw(0, total - 1);
        auto remaining = draw(ctx.random);
        for (auto const& it : route.services)
        {
            if (remaining < it.part.count())
                return it.service;
            remaining -= it.part.count();
        }
        return route.services.back().service;
    }

    plan_service const* planned_service(request const& req) const
    {
        for (auto const& it : req.steering->plan->services)
            if (it.id == req.service)
                return &it;
        return nullptr;
    }

    connections max_connections(request const& req)
    {
        auto const* const service = planned_service(req);
        auto const all = service == nullptr ? 1 : service->most_connections.count();
        return connections(std::max<std::int64_t>(all / view().entries(), 1));
    }

    /// Returns whether the request may run on a version: on the next version if `use_next` is
    /// set and a rollout is running, else on the base version.
    static bool is_allowed_version(service_versions const* versions, bool use_next,
                                   version_id const& version)
    {
        if (versions == nullptr || versions->base.value().empty())
            return true;
        if (versions->phase == rollout_phase::running && use_next)
            return version == versions->next;
        return version == versions->base;
    }

    bool may_serve(request const& req, region_id const& region) const
    {
        auto const allowed = [&](std::set<region_id> const& homes)
        { return homes.empty() || homes.contains(region); };
        return allowed(req.planned->homes) && (req.payer == nullptr || allowed(req.payer->homes));
    }

    /// Returns the region of a domain. A domain that the settings do not list counts as a
    /// region of its own.
    region_id region_of(domain_id const& domain) const
    {
        auto const it = self_.regions.find(domain);
        return it == self_.regions.end() ? region_id(domain.value()) : it->second;
    }

    /// Returns the versions of the request's service; null if it has no version state.
    service_versions const* versions_for(request const& req)
    {
        auto const& all = view().steering()->versions;
        auto const found = all.find(req.service);
        return found == all.end() ? nullptr : &found->second;
    }

    /// Decides at random, by the rollout's share, whether a request goes to the next version.
    static bool draw_next_version(service_versions const* versions, context& ctx)
    {
        if (versions == nullptr || versions->phase != rollout_phase::running)
            return false;
        std::uniform_int_distribution<std::int64_t> draw(0, whole_share.count() - 1);
        return draw(ctx.random) < versions->share.count();
    }

    std::vector<candidate> candidates_of(request const& req, service_versions const* versions,
                                         bool use_next, context& ctx)
    {
        auto const* const service = planned_service(req);
        std::vector<candidate> out;
        for (auto const& [id, it] : view().targets())
        {
            auto const& notice = it.what;
            if (notice.service != req.service || !is_usable(it, req, service, ctx) ||
                !is_allowed_version(versions, use_next, notice.version))
                continue;
            auto const region = region_of(notice.domain);
            if (!may_serve(req, region))
                continue;
            out.push_back({.listed = &it,
                           .distance = proximity_of(notice.domain, region),
                           .region = region,
                           .score = score_of(req, notice),
                           .rank = 0,
                           .busy = loads_.busy(id, ctx.now),
                           .paused = pauses_.end_of(id, notice.start, ctx.now) > ctx.now});
        }
        remove_ejected(out, ctx.now);
        rank_within_regions(out);
        return out;
    }

    /// Removes ejected targets from regions in which at most a third of the candidates are
    /// ejected. Other regions keep theirs, since their requests must not all move to another
    /// region at once.
    void remove_ejected(std::vector<candidate>& all, instant now) const
    {
        std::map<region_id, std::pair<std::size_t, std::size_t>> counts; // Ejected, all.
        auto const ejected = [&](candidate const& it)
        { return loads_.is_ejected(it.listed->what.id, now); };
        for (auto const& it : all)
        {
            auto& [ejected_count, total] = counts[it.region];
            ejected_count += ejected(it);
            ++total;
        }
        std::erase_if(all,
                      [&](candidate const& it)
                      {
                          auto const& [ejected_count, total] = counts.at(it.region);
                          return ejected_count * ejected_divisor <= total && ejected(it);
                      });
    }

    bool is_usable(listed_target const& target, request const& req, plan_service const* service,
                   context& ctx)
    {
        auto const& notice = target.what;
        if (notice.standing != messages::target_standing::serving ||
            view().steering()->evacuated.contains(notice.domain) ||
            loads_.is_unreachable(notice.id, target.learned, ctx.now))
            return false;
        auto const same = [&](attempt const& previous) { return previous.target.id == notice.id; };
        if (std::any_of(req.attempts.begin(), req.attempts.end(), same))
            return false;
        if (target.cold_until <= ctx.now || service == nullptr)
            return true;
        return notice.domain == self_.self.domain &&
               gate_.can_accept(notice.id, *service, view().entries_in_domain(), ctx.now);
    }

    proximity proximity_of(domain_id const& domain, region_id const& region) const
    {
        if (domain == self_.self.domain)
            return proximity::own_domain;
        return region == self_.self.region ? proximity::own_region : proximity::other_region;
    }

    double score_of(request const& req, messages::target_notice const& notice)
    {
        return has_cache_affinity(req) ? home_score(req.object, notice.id, notice.capacity) : 0;
    }

    /// Returns whether targets serve the request faster if they handled its object lately.
    static bool has_cache_affinity(request const& req)
    {
        return req.planned->sticky && !req.object.value().empty();
    }

    candidate const* choose_target(request const& req, std::vector<candidate>& found, instant now)
    {
        if (found.empty())
            return nullptr;
        auto const own_region_targets = static_cast<std::size_t>(std::count_if(
            found.begin(), found.end(),
            [](candidate const& it) { return it.distance != proximity::other_region; }));
        score_regions(found, req.object);
        bool const prefers_own_region = serves_in_own_region(req, found, own_region_targets);
        ranking_options const options{.cache_affinity = has_cache_affinity(req),
                                      .prefers_own_region = prefers_own_region,
                                      .home_count = home_count_of(req.service, own_region_targets)};
        overflow_.add(millitokens(config_.overflow.count()));
        if (overflow_.tokens() > max_overflow_burst)
            overflow_.take(overflow_.tokens() - max_overflow_burst);
        order_by_proximity(found, options);
        auto const* const free = first_with_capacity(found, options);
        bool const is_home =
            free != nullptr && (!options.cache_affinity || free->rank < options.home_count);
        if (is_home && is_in_preferred_region(*free, options))
            return free;
        // Waiting for a slot of a home takes less time than the work on a target that does
        // not hold the object.
        auto const in_time = [&](candidate const& it) { return ends_in_time(req, it, now); };
        if (auto const* const home = shortest_queue(found, options, config_.queue_ratio, in_time))
            return home;
        if (free == nullptr || is_in_preferred_region(*free, options) ||
            overflow_.take(request_cost))
            return free;
        return nullptr;
    }

    bool serves_in_own_region(request const& req, std::vector<candidate> const& found,
                              std::size_t own_region_targets)
    {
        if (own_region_targets == 0 || own_region_targets == found.size())
            return own_region_targets != 0;
        auto const split = splits_.find(req.service);
        auto const own_fraction = split == splits_.end() ? 1.0 : split->second.own_fraction();
        if (object_hash(req) < own_fraction)
            return true;
        // Each object that no region serves for itself is served by one region for all, which
        // may be this one.
        return has_cache_affinity(req) && best_region(found) == self_.self.region;
    }

    double object_hash(request const& req)
    {
        if (!req.object.value().empty())
            return object_fraction(req.object, "region");
        return object_fraction(object_id(std::to_string(req.id.value())), "region");
    }

    bool ends_in_time(request const& req, candidate const& target, instant now) const
    {
        auto const average = service_times_.find(req.route);
        auto const service_time = average == service_times_.end()
                                      ? static_cast<double>(span(req.planned->aim).count())
                                      : average->second;
        auto const capacity = capacity_of(target);
        auto const expected =
            service_time * (1 + std::max(target.busy + 1 - capacity, 0.0) / capacity);
        return expected < deadline_fraction * static_cast<double>((req.deadline - now).count());
    }

    static std::string reason_text(std::vector<candidate> const& found)
    {
        if (found.empty())
            return "no target may take it";
        auto const& first = found.front();
        auto const paused = std::count_if(found.begin(), found.end(),
                                          [](candidate const& it) { return it.paused; });
        return "targets=" + std::to_string(found.size()) + " paused=" + std::to_string(paused) +
               " first=" + first.listed->what.id.value() +
               " busy=" + std::to_string(static_cast<int>(first.busy)) + "/" +
               std::to_string(first.listed->what.capacity.count());
    }

    /// Returns when a refused caller is to come back: after the first pause ends if all candidates
    /// are paused. The times are spread, so that the callers do not return together.
    milliseconds retry_delay(std::vector<candidate> const& found, context& ctx) const
    {
        auto delay = config_.retry_after;
        if (!found.empty() &&
            std::all_of(found.begin(), found.end(), [](candidate const& it) { return it.paused; }))
        {
            auto first_end = never;
            for (auto const& it : found)
                first_end = std::min(
                    first_end, pauses_.end_of(it.listed->what.id, it.listed->what.start, ctx.now));
            delay = std::max(delay, std::chrono::ceil<milliseconds>(first_end - ctx.now));
        }
        std::uniform_int_distribution<std::int64_t> spread(0, config_.retry_spread.count());
        return delay + milliseconds(spread(ctx.random));
    }

    /// Returns the number of entry instances in this region, assuming that they are spread
    /// evenly over the domains; at least 1.
    double instances_in_region()
    {
        auto const local_domains =
            std::count_if(self_.regions.begin(), self_.regions.end(),
                          [this](auto const& it) { return it.second == self_.self.region; });
        if (local_domains == 0)
            return 1;
        return std::max(1.0, static_cast<double>(view().entries() * local_domains) /
                                 static_cast<double>(self_.regions.size()));
    }

    /// Returns the number of targets of a region that keep an object warm: as many as fit if
    /// each recently requested object is kept on the same number of `targets`.
    std::size_t home_count_of(service_id const& service, std::size_t targets) const
    {
        auto const max_homes = static_cast<std::size_t>(config_.homes.count());
        auto const objects = objects_.find(service);
        if (objects == objects_.end() || objects->second.count() == 0)
            return max_homes;
        auto const warm_objects = targets * static_cast<std::size_t>(config_.objects.count());
        return std::clamp<std::size_t>(warm_objects / objects->second.count(), 1, max_homes);
    }

    /// Returns the fraction of the recently requested objects that `targets` targets can keep
    /// warm; it may exceed 1.
    double warm_fraction(service_id const& service, std::int64_t targets) const
    {
        auto const objects = objects_.find(service);
        if (objects == objects_.end() || objects->second.count() == 0)
            return 1;
        return static_cast<double>(targets * config_.objects.count()) /
               static_cast<double>(objects->second.count());
    }

    void update_splits(instant now)
    {
        std::map<service_id, std::map<region_id, region_usage>> usage;
        std::map<service_id, std::int64_t> own_region_targets; // Targets in this region.
        for (auto const& [id, it] : view().targets())
        {
            auto const& notice = it.what;
            if (notice.standing != messages::target_standing::serving || it.cold_until > now ||
                (view().steering() && view().steering()->evacuated.contains(notice.domain)))
                continue;
            auto& region_use = usage[notice.service][region_of(notice.domain)];
            if (region_of(notice.domain) == self_.self.region)
                ++own_region_targets[notice.service];
            region_use.capacity += notice.capacity;
            region_use.busy += loads_.busy(id, now);
        }
        for (auto const& [service, regions] : usage)
        {
            auto& split = splits_[service];
            // Until the first request arrives, each update starts anew, since the list of targets
            // may still be incomplete and no object has been placed.
            if (!requested_services_.contains(service))
                split = region_split();
            split.update(self_.self.region, regions,
                         warm_fraction(service, own_region_targets[service]), now);
        }
    }

    placement_settings const& config_;
    kernel::service_map& services_;
    identity const& self_;
    target_loads loads_;
    target_pauses pauses_;
    warm_up_gate gate_;
    std::map<service_id, region_split> splits_;
    std::set<service_id> requested_services_; ///< Services that had a request.
    std::map<service_id, recent_objects> objects_;
    std::map<route_id, double> service_times_; ///< Microseconds, moving averages.
    token_bucket overflow_;
    instant next_split_update_;
};

stage_registrar<placement_stage> const entered{"placement", stage_order::placement};

} // namespace

} // namespace mulberryrudder::entry
