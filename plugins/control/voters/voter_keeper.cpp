#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace mulberryrudder::control
{

namespace
{

struct voter_settings
{
    std::int64_t tolerated_disk_losses = 1;
    milliseconds silence_timeout{4000};
    milliseconds check_interval{500};
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
        kernel::field("replace_after", &voter_settings::silence_timeout, time_limits,
                      "Milliseconds without a message from a voter after which another control "
                      "instance replaces it."),
        kernel::field("check_period", &voter_settings::check_interval, time_limits,
                      "Milliseconds between two checks of the voters."),
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
     .meaning = "No message arrived from a voter for voters/replace_after; another control "
                "instance replaces it.",
     .action = "Check the silent instance. It joins again automatically when it returns."}};

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

    void leading(context& ctx) override { silent_since_.clear(), next_check_ = ctx.now; }

    void tick(context& ctx) override
    {
        if (ctx.now < next_check_)
            return;
        next_check_ = ctx.now + config_.check_interval;
        if (!services_.require<replicated_log>().may_act(ctx.now))
            return silent_since_.clear();
        auto const reachable =
            services_.require<roster_view>().control_since(ctx.now - config_.check_interval * 2);
        update_silence(reachable, ctx.now);
        if (auto const change = choose_replacement(reachable, ctx.now))
            replace_voter(*change, ctx);
        else if (needs_more_voters())
            add_voter(reachable, ctx);
    }

private:
    voter_group& group() { return services_.require<voter_group>(); }

    void update_silence(std::vector<instance_description> const& reachable, instant now)
    {
        for (auto const& it : group().membership().voters)
        {
            bool const is_reachable =
                it.id == self_.self.id ||
                std::any_of(reachable.begin(), reachable.end(),
                            [&](instance_description const& each) { return each.id == it.id; });
            if (is_reachable)
                silent_since_.erase(it.id);
            else
                silent_since_.try_emplace(it.id, now);
        }
    }

    bool needs_more_voters()
    {
        auto const required = static_cast<std::size_t>(2 * config_.tolerated_disk_losses + 1);
        return group().membership().voters.size() < required;
    }

    std::optional<replacement>
    choose_replacement(std::vector<instance_description> const& reachable, instant now)
    {
        auto const& members = group().membership();
        auto const expired = std::find_if(silent_since_.begin(), silent_since_.end(),
                                          [&](auto const& it) {
                                              return members.find(it.first) != nullptr &&
                                                     it.second + config_.silence_timeout <= now;
                                          });
        auto const* const joining =
            expired == silent_since_.end() ? nullptr : best_candidate(reachable);
        if (joining == nullptr)
            return std::nullopt;
        return replacement{
            .leaving = expired->first, .joining = joining->id, .peer = joining->peer};
    }

    /// Returns the reachable instance to make a voter next; null if all of them are voters.
    instance_description const* best_candidate(std::vector<instance_description> const& reachable)
    {
        auto const& members = group().membership();
        std::map<region_id, int> voters_by_region;
        ++voters_by_region[self_.self.region];
        for (auto const& it : reachable)
            voters_by_region[it.region] += members.find(it.id) != nullptr;
        instance_description const* out = nullptr;
        std::tuple<int, instance_id> lowest_cost{};
        for (auto const& it : reachable)
        {
            std::tuple const cost(voters_by_region[it.region], it.id);
            if (members.find(it.id) != nullptr || (out != nullptr && cost >= lowest_cost))
                continue;
            lowest_cost = cost;
            out = &it;
        }
        return out;
    }

    void add_voter(std::vector<instance_description> const& reachable, context& ctx)
    {
        auto const* const candidate = best_candidate(reachable);
        if (candidate == nullptr)
            return;
        // An instance that replaces itself is added without removing a voter.
        replacement const change{
            .leaving = candidate->id, .joining = candidate->id, .peer = candidate->peer};
        auto const& members = group().membership();
        bool const already_pending = std::find(members.pending.begin(), members.pending.end(),
                                               change) != members.pending.end();
        auto const voters = members.voters.size();
        if (!already_pending && group().begin_replacement(change, ctx.now))
            ctx.events.record(adding_event, {{"joining", std::to_string(candidate->id.value())},
                                             {"voters", std::to_string(voters)}});
    }

    void replace_voter(replacement const& change, context& ctx)
    {
        if (!group().begin_replacement(change, ctx.now))
            return;
        auto const since = silent_since_.at(change.leaving);
        auto const elapsed = std::chrono::duration_cast<milliseconds>(ctx.now - since);
        ctx.events.record(replacing_event, {{"leaving", std::to_string(change.leaving.value())},
                                            {"joining", std::to_string(change.joining.value())},
                                            {"silent_ms", std::to_string(elapsed.count())}});
        silent_since_.erase(change.leaving);
    }

    kernel::service_map& services_;
    voter_settings const& config_;
    identity const& self_;
    instant next_check_;
    std::map<instance_id, instant> silent_since_;
};

component_registrar<voter_keeper> const registered{"voter_keeper", component_order::voters};

} // namespace

} // namespace mulberryrudder::control
