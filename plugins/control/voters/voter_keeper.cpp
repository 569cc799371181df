#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/messages/replica.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace mulberryrudder::control
{

namespace
{

struct voter_settings
{
    std::int64_t tolerated_disk_losses = 1;
    std::int64_t tolerated_removals = 1;
    milliseconds silence_timeout{2000};
    milliseconds joining_timeout{4000};
    milliseconds check_interval{100};
    milliseconds stop_timeout{4000};
};

constexpr kernel::limits time_limits{10, 600'000};

kernel::section<voter_settings> const voter_section{
    "voters",
    {
        kernel::field(
            "losses_borne", &voter_settings::tolerated_disk_losses, {0, 1000},
            "Number of control instances that may lose their disks at the same time without a "
            "loss of accepted state. The group grows to twice this number of voters plus one, "
            "or to all control instances if there are fewer; it never shrinks."),
        kernel::field(
            "removals_borne", &voter_settings::tolerated_removals, {0, 1000},
            "Number of control instances that may be removed as planned at the same time, beside "
            "voters/losses_borne. Their votes are lost until other instances have taken them over, "
            "so the group has two more voters for each, if there are as many control instances."),
        kernel::field("replace_after", &voter_settings::silence_timeout, time_limits,
                      "Milliseconds without a message from a voter after which another control "
                      "instance replaces it. Together with an election and the time to join it "
                      "must be below the time after which a further instance may be lost."),
        kernel::field("join_limit", &voter_settings::joining_timeout, time_limits,
                      "Milliseconds without an answer from an instance that is to join after which "
                      "it blocks no other change."),
        kernel::field("check_period", &voter_settings::check_interval, time_limits,
                      "Milliseconds between two checks of the voters."),
        kernel::field("stop_limit", &voter_settings::stop_timeout, time_limits,
                      "Milliseconds after which a planned stop ends although another instance has "
                      "not taken over the vote; below the time after which the process is killed."),
    }};

kernel::event_kind const adding_event{
    {.number = 731,
     .name = "voters.adding",
     .level = kernel::severity::info,
     .meaning = "The group has fewer voters than voters/losses_borne requires; a control "
                "instance joins as a voter.",
     .action = "None."}};
kernel::event_kind const replacing_event{
    {.number = 730,
     .name = "voters.replacing",
     .level = kernel::severity::warning,
     .meaning = "No message came from a voter for voters/replace_after; another control "
                "instance replaces it.",
     .action = "Check the silent instance. It joins again automatically when it returns."}};

kernel::event_kind const abandoned_event{
    {.number = 732,
     .name = "voters.abandoned",
     .level = kernel::severity::warning,
     .meaning = "A change of the voters was given up: no answer came for voters/join_limit from "
                "the control instance that was to join, and another change is due.",
     .action = "Check the joining instance. It joins as a voter when one is needed again."}};

kernel::event_kind const spreading_event{
    {.number = 733,
     .name = "voters.spreading",
     .level = kernel::severity::info,
     .meaning = "A region has more voters than another one by two or more; a control instance of "
                "that one takes the place of a voter.",
     .action = "None."}};

kernel::event_kind const handover_event{
    {.number = 734,
     .name = "voters.handing_over",
     .level = kernel::severity::info,
     .meaning = "A voter stops as planned; another control instance takes over its vote.",
     .action = "None."}};

kernel::event_kind const stop_event{
    {.number = 735,
     .name = "voters.stop_unfinished",
     .level = kernel::severity::warning,
     .meaning = "A planned stop ends after voters/stop_limit although no leader has confirmed that "
                "this control instance has no vote any more. The vote counts as lost until "
                "the instance is back or another one has taken its place.",
     .action = "Check whether control has a leader, and stop no other control instance before."}};

/// Time between two notices of an instance that stops.
constexpr milliseconds notice_interval{100};
/// Time from the beginning of a leadership within which other instances that stop tell so.
constexpr milliseconds notice_collection_time{300};
/// Time for which a region must be able to take a voter before the voters are spread again: below
/// the time after which another region may be lost.
constexpr milliseconds spreading_delay{2000};
/// How long an instance that did not join is the last choice.
constexpr seconds avoidance{30};
/// Time from the beginning of a term until the voters are judged: a few heartbeats and round trips
/// between regions, within which each voter that works answers.
constexpr milliseconds first_check_delay{600};
/// Time within which an instance must have been heard to become a voter: a few exchange intervals.
constexpr milliseconds candidate_silence{1000};
/// Time after its last notice for which an instance counts as stopping: longer than it counts as
/// heard, since its last message may come some exchange intervals after its last notice.
constexpr milliseconds notice_lifetime = candidate_silence + milliseconds(500);

/// Maintains the voters of the control group while this instance leads: adds voters up to the
/// required number and replaces a voter that stays silent. New voters are reachable instances
/// in the region with the fewest voters, so that the loss of a region leaves a majority.
///
/// Thread safety: the decision core's thread.
class voter_keeper final : public component
{
public:
    explicit voter_keeper(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(voter_section)), self_(parts.self)
    {
    }

    void leading(context& ctx) override
    {
        silent_since_.clear();
        avoided_until_.clear();
        spread_at_.reset();
        next_check_ = ctx.now + first_check_delay;
        handover_at_ = ctx.now + notice_collection_time;
    }

    void received(envelope const& message, context& ctx) override
    {
        static std::array const table{on<&voter_keeper::handle_stop_notice>(),
                                      on<&voter_keeper::handle_stop_permission>()};
        dispatch(*this, table, message.from, message.body, ctx);
    }

    void stopping(context& ctx) override { stop_deadline_ = ctx.now + config_.stop_timeout; }

    bool may_stop(instant now) const override { return may_stop_ || now >= *stop_deadline_; }

    void tick(context& ctx) override
    {
        if (stop_deadline_)
            advance_stop(ctx);
        if (ctx.now < next_check_)
            return;
        next_check_ = ctx.now + config_.check_interval;
        if (!services_.require<replicated_log>().may_act(ctx.now))
            return silent_since_.clear();
        update_silence(ctx.now);
        std::erase_if(avoided_until_, [&](auto const& it) { return it.second <= ctx.now; });
        auto const abandoned = abandoned_changes(ctx.now);
        for (auto const& it : abandoned)
            avoided_until_[it.joining] = ctx.now + avoidance;
        auto const reachable = reachable_instances(ctx.now);
        if (auto const change = choose_replacement(reachable, abandoned, ctx.now))
            replace_voter(*change, abandoned, ctx);
        else if (needs_more_voters(reachable))
            add_voter(reachable, abandoned, ctx);
        else
            spread_voters(reachable, ctx);
    }

private:
    voter_group& group() { return services_.require<voter_group>(); }

    /// Hands the lead over, and asks the leader for the permission to stop. Goes on after that, so
    /// that this instance is given no vote before its process ends.
    void advance_stop(context& ctx)
    {
        auto const& log = services_.require<replicated_log>();
        if (ctx.now >= *stop_deadline_)
        {
            if (!std::exchange(may_stop_, true))
                ctx.events.record(stop_event, {});
            return;
        }
        if (log.may_act(ctx.now))
        {
            if (ctx.now >= handover_at_)
                may_stop_ |= !group().hand_over_lead(stopping_instances(ctx.now), ctx.now);
            return;
        }
        auto const leader = log.leader();
        if (ctx.now >= next_notice_)
        {
            next_notice_ = ctx.now + notice_interval;
            send_stop_notices(leader, ctx);
        }
        // The leader sends nothing to an instance that neither has a vote nor is to get one.
        may_stop_ |= !leader && !is_voter_or_joining(self_.self.id);
    }

    /// Tells all instances that this one stops. The leader need not be known here: it sends nothing
    /// to an instance that has no vote any more.
    void send_stop_notices(std::optional<instance_id> leader, context& ctx)
    {
        std::set<instance_id> receivers;
        if (leader && leader != self_.self.id)
            receivers.insert(*leader);
        for (auto const& it : reachable_instances(ctx.now))
            receivers.insert(it.id);
        for (auto const id : receivers)
            ctx.send(id, messages::stop_notice{});
    }

    bool is_voter_or_joining(instance_id id)
    {
        auto const& members = group().membership();
        return members.find(id) != nullptr ||
               std::any_of(members.pending.begin(), members.pending.end(),
                           [id](replacement const& it) { return it.joining == id; });
    }

    void handle_stop_notice(instance_id sender, messages::stop_notice const&, context& ctx)
    {
        // Also while another instance leads, since this one may lead before the sender has stopped.
        stopping_until_[sender] = ctx.now + notice_lifetime;
        if (!services_.require<replicated_log>().may_act(ctx.now))
            return;
        ctx.send(sender, messages::stop_permission{.granted = may_leave(sender, ctx.now)});
    }

    void handle_stop_permission(instance_id, messages::stop_permission const& permission, context&)
    {
        may_stop_ |= stop_deadline_ && permission.granted;
    }

    /// Returns whether an instance that stops leaves no vote behind that another one could take.
    bool may_leave(instance_id id, instant now)
    {
        if (!group().is_membership_committed())
            return false;
        if (!is_voter_or_joining(id))
            return true;
        // An instance that is silent for a moment only, as at its start, can take the vote then.
        auto const known =
            services_.require<roster_view>().control_since(now - config_.stop_timeout);
        return group().membership().pending.empty() && best_candidate(known, id, now) == nullptr;
    }

    bool is_stopping(instance_id id, instant now) const
    {
        auto const found = stopping_until_.find(id);
        return found != stopping_until_.end() && now < found->second;
    }

    std::set<instance_id> stopping_instances(instant now) const
    {
        std::set<instance_id> out;
        for (auto const& [id, until] : stopping_until_)
            if (now < until)
                out.insert(id);
        return out;
    }

    std::vector<instance_description> reachable_instances(instant now)
    {
        return services_.require<roster_view>().control_since(now - candidate_silence);
    }

    /// Notes since when the voters, and the instances that are to join, do not answer the leader.
    /// One that was silent before this instance led counts from its last message of any kind.
    void update_silence(instant now)
    {
        auto const& members = group().membership();
        std::set<instance_id> watched;
        for (auto const& it : members.voters)
            watched.insert(it.id);
        for (auto const& it : members.pending)
            watched.insert(it.joining);
        std::erase_if(silent_since_, [&](auto const& it) { return !watched.contains(it.first); });
        for (auto const id : watched)
        {
            if (group().answers(id))
                silent_since_.erase(id);
            else
                silent_since_.try_emplace(id, last_heard(id).value_or(now));
        }
    }

    std::optional<instant> last_heard(instance_id id)
    {
        return services_.require<roster_view>().control_last_heard(id);
    }

    bool has_been_silent(instance_id id, milliseconds limit, instant now) const
    {
        auto const found = silent_since_.find(id);
        return found != silent_since_.end() && found->second + limit <= now;
    }

    /// Returns the pending changes whose joining instance is not there. They block no other one.
    std::vector<replacement> abandoned_changes(instant now)
    {
        auto const& members = group().membership();
        std::vector<replacement> out;
        for (auto const& it : members.pending)
            if (members.find(it.joining) == nullptr &&
                has_been_silent(it.joining, config_.joining_timeout, now))
                out.push_back(it);
        return out;
    }

    /// Returns the number of voters that a majority survives the tolerated losses with, and the
    /// removals as well if there are enough instances for that.
    std::size_t required_voters(std::vector<instance_description> const& reachable) const
    {
        auto const losses = config_.tolerated_disk_losses;
        auto const survived = [](std::int64_t gone)
        { return static_cast<std::size_t>(2 * gone + 1); };
        auto const with_removals = survived(losses + config_.tolerated_removals);
        return losses > 0 && reachable.size() + 1 >= with_removals ? with_removals
                                                                   : survived(losses);
    }

    bool needs_more_voters(std::vector<instance_description> const& reachable)
    {
        return group().membership().voters.size() < required_voters(reachable);
    }

    /// Returns the replacement of a voter that is lost, or else of one that stops as planned.
    std::optional<replacement>
    choose_replacement(std::vector<instance_description> const& reachable,
                       std::vector<replacement> const& abandoned, instant now)
    {
        auto const lost = [&](instance_id id)
        { return has_been_silent(id, config_.silence_timeout, now); };
        auto const stops = [&](instance_id id) { return is_stopping(id, now); };
        if (auto change = choose_replacement_of(lost, reachable, abandoned, now))
            return change;
        return choose_replacement_of(stops, reachable, abandoned, now);
    }

    template <class Predicate>
    std::optional<replacement>
    choose_replacement_of(Predicate const& leaves,
                          std::vector<instance_description> const& reachable,
                          std::vector<replacement> const& abandoned, instant now)
    {
        auto const& members = group().membership();
        auto const is_pending = [&](auto const& matches)
        { return std::any_of(members.pending.begin(), members.pending.end(), matches); };
        for (auto const& it : members.voters)
        {
            if (!leaves(it.id))
                continue;
            auto const* const joining = best_candidate(reachable, it.id, now);
            if (joining == nullptr)
                continue;
            replacement const change{
                .leaving = it.id, .joining = joining->id, .peer = joining->peer};
            auto const replaces = [&](replacement const& each)
            {
                return each.leaving == it.id &&
                       std::find(abandoned.begin(), abandoned.end(), each) == abandoned.end();
            };
            auto const is_same = [&](replacement const& each) { return each == change; };
            if (!is_pending(replaces) && !is_pending(is_same))
                return change;
        }
        return std::nullopt;
    }

    /// Returns the number of voters in each region that has a reachable instance, without
    /// `leaving`.
    std::map<region_id, int>
    count_voters_by_region(std::vector<instance_description> const& reachable,
                           std::optional<instance_id> leaving)
    {
        auto const& members = group().membership();
        std::map<region_id, int> out;
        ++out[self_.self.region];
        for (auto const& it : reachable)
            out[it.region] += members.find(it.id) != nullptr && it.id != leaving;
        return out;
    }

    /// Returns the reachable instance to make a voter next, in the place of `leaving` if there is
    /// one; null if all of them are voters or stop as planned.
    instance_description const* best_candidate(std::vector<instance_description> const& reachable,
                                               std::optional<instance_id> leaving, instant now)
    {
        auto const& members = group().membership();
        auto voters_by_region = count_voters_by_region(reachable, leaving);
        instance_description const* out = nullptr;
        std::tuple<bool, int, instance_id> lowest_cost{};
        for (auto const& it : reachable)
        {
            std::tuple const cost(avoided_until_.contains(it.id), voters_by_region[it.region],
                                  it.id);
            if (members.find(it.id) != nullptr || is_stopping(it.id, now) ||
                (out != nullptr && cost >= lowest_cost))
                continue;
            lowest_cost = cost;
            out = &it;
        }
        return out;
    }

    void add_voter(std::vector<instance_description> const& reachable,
                   std::vector<replacement> const& abandoned, context& ctx)
    {
        auto const* const candidate = best_candidate(reachable, std::nullopt, ctx.now);
        if (candidate == nullptr)
            return;
        // An instance that replaces itself is added without removing a voter.
        replacement const change{
            .leaving = candidate->id, .joining = candidate->id, .peer = candidate->peer};
        auto const& members = group().membership();
        bool const already_pending = std::find(members.pending.begin(), members.pending.end(),
                                               change) != members.pending.end();
        auto const voters = members.voters.size();
        if (already_pending || !group().begin_replacement(change, abandoned, ctx.now))
            return;
        record_abandoned(abandoned, ctx);
        ctx.events.record(adding_event, {{"joining", std::to_string(candidate->id.value())},
                                         {"voters", std::to_string(voters)}});
    }

    /// Returns the change that moves a voter from the region with the most of them to one that has
    /// fewer by two or more, if all voters work.
    std::optional<replacement> choose_spreading(std::vector<instance_description> const& reachable,
                                                instant now)
    {
        auto const* const joining = best_candidate(reachable, std::nullopt, now);
        if (joining == nullptr || !silent_since_.empty() || avoided_until_.contains(joining->id))
            return std::nullopt;
        auto voters_by_region = count_voters_by_region(reachable, std::nullopt);
        auto const& members = group().membership();
        instance_description const* leaving = nullptr;
        for (auto const& it : reachable)
            if (members.find(it.id) != nullptr &&
                (leaving == nullptr ||
                 voters_by_region[it.region] > voters_by_region[leaving->region]))
                leaving = &it;
        if (leaving == nullptr ||
            voters_by_region[leaving->region] < voters_by_region[joining->region] + 2)
            return std::nullopt;
        return replacement{.leaving = leaving->id, .joining = joining->id, .peer = joining->peer};
    }

    /// Spreads the voters again once a region is back for a while, since the loss of a region with
    /// most voters would end the group's work.
    void spread_voters(std::vector<instance_description> const& reachable, context& ctx)
    {
        auto const change = choose_spreading(reachable, ctx.now);
        if (!change)
            return spread_at_.reset();
        spread_at_ = spread_at_.value_or(ctx.now + spreading_delay);
        if (ctx.now < *spread_at_ || !group().begin_replacement(*change, {}, ctx.now))
            return;
        spread_at_.reset();
        ctx.events.record(spreading_event, {{"leaving", std::to_string(change->leaving.value())},
                                            {"joining", std::to_string(change->joining.value())}});
    }

    void replace_voter(replacement const& change, std::vector<replacement> const& abandoned,
                       context& ctx)
    {
        if (!group().begin_replacement(change, abandoned, ctx.now))
            return;
        record_abandoned(abandoned, ctx);
        if (!silent_since_.contains(change.leaving))
            return ctx.events.record(handover_event,
                                     {{"leaving", std::to_string(change.leaving.value())},
                                      {"joining", std::to_string(change.joining.value())}});
        auto const since = silent_since_.at(change.leaving);
        auto const elapsed = std::chrono::duration_cast<milliseconds>(ctx.now - since);
        ctx.events.record(replacing_event, {{"leaving", std::to_string(change.leaving.value())},
                                            {"joining", std::to_string(change.joining.value())},
                                            {"silent_ms", std::to_string(elapsed.count())}});
    }

    static void record_abandoned(std::vector<replacement> const& abandoned, context& ctx)
    {
        for (auto const& it : abandoned)
            ctx.events.record(abandoned_event, {{"leaving", std::to_string(it.leaving.value())},
                                                {"joining", std::to_string(it.joining.value())}});
    }

    kernel::service_map& services_;
    voter_settings const& config_;
    identity const& self_;
    instant next_check_;
    std::optional<instant> spread_at_; ///< When the voters are spread, if the need lasts.
    std::map<instance_id, instant> silent_since_;   ///< Voters and instances that are to join.
    std::map<instance_id, instant> avoided_until_;  ///< They did not join when they were to.
    std::map<instance_id, instant> stopping_until_; ///< They told that they stop.
    std::optional<instant> stop_deadline_;          ///< Of the planned stop of this instance.
    bool may_stop_ = false;                         ///< The planned stop leaves no vote behind.
    instant next_notice_;
    instant handover_at_; ///< When the lead may be handed over at a planned stop.
};

component_registrar<voter_keeper> const registered{"voter_keeper", component_order::voters};

} // namespace

} // namespace mulberryrudder::control
