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
    std::int64_t losses_borne = 1;
    milliseconds replace_after{4000};
    milliseconds check_period{500};
};

constexpr kernel::limits times{10, 600'000};

kernel::section<voter_settings> const voter_section{
    "voters",
    {
        kernel::field(
            "losses_borne", &voter_settings::losses_borne, {1, 3},
            "Control instances whose disks may be lost at once without a loss of what was "
            "accepted: the group grows to twice as many voters and one more."),
        kernel::field("replace_after", &voter_settings::replace_after, times,
                      "Milliseconds without a word from a voter after which another control "
                      "instance takes its place."),
        kernel::field("check_period", &voter_settings::check_period, times,
                      "Milliseconds between two looks at the voters."),
    }};

kernel::event_kind const adding_event{
    {.number = 731,
     .name = "voters.adding",
     .level = kernel::severity::info,
     .meaning = "The group has too few voters for the losses that it is to bear; a control "
                "instance joins them.",
     .action = "None."}};
kernel::event_kind const replacing_event{
    {.number = 730,
     .name = "voters.replacing",
     .level = kernel::severity::warning,
     .meaning = "A voter was not heard for long; another control instance takes its place.",
     .action = "Look at the silent instance. It joins again by itself when it returns."}};

/// Keeps the control group whole while this instance leads: it grows to the voters that it
/// needs, and a voter that stays silent is replaced. The places go to instances that are
/// heard, in the region with the fewest voters, so that the loss of a region leaves a majority.
///
/// Thread safety: the decision core's thread.
class voter_keeper final : public component
{
public:
    explicit voter_keeper(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(voter_section)), self_(parts.self)
    {
    }

    void leading(context& with) override { silent_since_.clear(), check_due_ = with.now; }

    void tick(context& with) override
    {
        if (with.now < check_due_)
            return;
        check_due_ = with.now + config_.check_period;
        if (!services_.require<replicated_log>().may_act(with.now))
            return silent_since_.clear();
        auto const heard =
            services_.require<roster_view>().control_since(with.now - config_.check_period * 2);
        note_silence(heard, with.now);
        if (auto const wanted = choose_replacement(heard, with.now))
            replace(*wanted, with);
        else if (is_small())
            add(heard, with);
    }

private:
    voter_group& group() { return services_.require<voter_group>(); }

    void note_silence(std::vector<instance_description> const& heard, instant now)
    {
        for (auto const& it : group().membership().voters)
        {
            bool const speaks =
                it.id == self_.self.id ||
                std::any_of(heard.begin(), heard.end(),
                            [&](instance_description const& each) { return each.id == it.id; });
            if (speaks)
                silent_since_.erase(it.id);
            else
                silent_since_.try_emplace(it.id, now);
        }
    }

    bool is_small()
    {
        auto const wanted = static_cast<std::size_t>(2 * config_.losses_borne + 1);
        return group().membership().voters.size() < wanted;
    }

    std::optional<replacement> choose_replacement(std::vector<instance_description> const& heard,
                                                  instant now)
    {
        auto const& members = group().membership();
        auto const overdue = std::find_if(silent_since_.begin(), silent_since_.end(),
                                          [&](auto const& it) {
                                              return members.find(it.first) != nullptr &&
                                                     it.second + config_.replace_after <= now;
                                          });
        auto const* const joining = overdue == silent_since_.end() ? nullptr : best_of(heard);
        if (joining == nullptr)
            return std::nullopt;
        return replacement{
            .leaving = overdue->first, .joining = joining->id, .peer = joining->peer};
    }

    /// Returns the instance that is to vote next; null if all that are heard do.
    instance_description const* best_of(std::vector<instance_description> const& heard)
    {
        auto const& members = group().membership();
        std::map<region_id, int> voters_in;
        ++voters_in[self_.self.region];
        for (auto const& it : heard)
            voters_in[it.region] += members.find(it.id) != nullptr;
        instance_description const* out = nullptr;
        std::tuple<int, instance_id> least{};
        for (auto const& it : heard)
        {
            std::tuple const cost(voters_in[it.region], it.id);
            if (members.find(it.id) != nullptr || (out != nullptr && cost >= least))
                continue;
            least = cost;
            out = &it;
        }
        return out;
    }

    void add(std::vector<instance_description> const& heard, context& with)
    {
        auto const* const it = best_of(heard);
        if (it == nullptr)
            return;
        // One that replaces itself takes nobody's place.
        replacement const wanted{.leaving = it->id, .joining = it->id, .peer = it->peer};
        auto const& members = group().membership();
        bool const begun = std::find(members.pending.begin(), members.pending.end(), wanted) !=
                           members.pending.end();
        auto const voters = members.voters.size();
        if (!begun && group().begin_replacement(wanted, with.now))
            with.events.record(adding_event, {{"joining", std::to_string(it->id.value())},
                                              {"voters", std::to_string(voters)}});
    }

    void replace(replacement const& wanted, context& with)
    {
        if (!group().begin_replacement(wanted, with.now))
            return;
        auto const since = silent_since_.at(wanted.leaving);
        auto const silent = std::chrono::duration_cast<milliseconds>(with.now - since);
        with.events.record(replacing_event, {{"leaving", std::to_string(wanted.leaving.value())},
                                             {"joining", std::to_string(wanted.joining.value())},
                                             {"silent_ms", std::to_string(silent.count())}});
        silent_since_.erase(wanted.leaving);
    }

    kernel::service_map& services_;
    voter_settings const& config_;
    identity const& self_;
    instant check_due_;
    std::map<instance_id, instant> silent_since_;
};

component_registrar<voter_keeper> const entered{"voter_keeper", component_order::voters};

} // namespace

} // namespace mulberryrudder::control
