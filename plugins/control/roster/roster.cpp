#include "control_table.hpp"
#include "entry_table.hpp"
#include "target_table.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::control
{

namespace
{

struct roster_settings
{
    milliseconds exchange_period{200};
    milliseconds poll_hold{700};
    milliseconds entry_silence{2500};
    milliseconds target_silence{6000};
    milliseconds leave_limit{900};
    milliseconds answer_lifetime{2000};
};

constexpr kernel::limits times{10, 600'000};

kernel::section<roster_settings> const roster_section{
    "roster",
    {
        kernel::field("exchange_period", &roster_settings::exchange_period, times,
                      "Milliseconds between two messages to each other control instance."),
        kernel::field("poll_hold", &roster_settings::poll_hold, times,
                      "Milliseconds for which an entry's poll is held back without news."),
        kernel::field("entry_silence", &roster_settings::entry_silence, times,
                      "Milliseconds without a word after which an entry is not named to callers."),
        kernel::field(
            "target_silence", &roster_settings::target_silence, times,
            "Milliseconds without a word after which a target counts as gone; four of the "
            "periods in which targets announce themselves."),
        kernel::field(
            "leave_limit", &roster_settings::leave_limit, times,
            "Milliseconds within which a target's leaving must be held by a majority; then "
            "the target is told to ask another instance. Below a target's own time limit."),
        kernel::field("answer_lifetime", &roster_settings::answer_lifetime, times,
                      "Milliseconds for which callers may use a look-up's answer."),
    }};

/// How long a control instance that is not heard is remembered.
constexpr seconds remember_control{20};
/// A leader's word that it leads holds for this long: a few exchange periods.
constexpr milliseconds leader_word{1000};
/// Another control instance that is silent for longer counts as out of reach: four
/// exchange periods.
constexpr milliseconds contact{800};
/// Time between two messages that name the control instances that are known. They
/// seldom change, and the list is as long as all the rest.
constexpr milliseconds introduction_period{1000};
/// A pause between two ticks that is longer shows that the process stood still.
constexpr milliseconds longest_pause{1000};
/// Outcomes that wait for the leader are dropped beyond this.
constexpr std::size_t most_outcomes = 4096;

kernel::counter_kind const announced_counter{"roster.announcements",
                                             "Announcements of targets that were taken."};
kernel::counter_kind const stale_counter{
    "roster.stale", "Announcements that were older than what was known, and changed nothing."};
kernel::counter_kind const polls_counter{"roster.polls", "Reports of entry instances."};
kernel::counter_kind const outcomes_dropped{
    "roster.outcomes_dropped", "Outcomes that were dropped since no leader took them."};

kernel::event_kind const target_event{
    {.number = 720,
     .name = "roster.target_changed",
     .level = kernel::severity::info,
     .meaning = "What is believed of a target changed by its own word.",
     .action = "None."}};
kernel::event_kind const leave_event{
    {.number = 721,
     .name = "roster.leave_answered",
     .level = kernel::severity::info,
     .meaning = "A target that leaves was answered; `held` tells whether a majority of the "
                "control instances knows of it, `holders` how many of them do.",
     .action = "If `held` is false often, look at the connections between control instances."}};
kernel::event_kind const stood_still_event{
    {.number = 722,
     .name = "roster.stood_still",
     .level = kernel::severity::warning,
     .meaning = "This process did not run for a while, so silence is counted anew.",
     .action = "Look at the machine's load."}};

/// Knows the targets, the entries and the other control instances of the fleet: takes
/// announcements, spreads them, and answers entries' reports and callers' look-ups.
///
/// Thread safety: the decision core's thread.
class roster final : public component,
                     public roster_view,
                     public spread_view,
                     public leader_directory
{
public:
    explicit roster(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(roster_section))
    {
        parts.services.provide<roster_view>(*this);
        parts.services.provide<spread_view>(*this);
        parts.services.provide<leader_directory>(*this);
    }

    bool asked(operator_asked const& it, context& with) override
    {
        begin(with);
        static std::array const table{on<&roster::take_announcement>(), on<&roster::take_leave>(),
                                      on<&roster::look_up>()};
        return dispatch(*this, table, it.id, it.body, with);
    }

    void received(envelope const& it, context& with) override
    {
        begin(with);
        static std::array const table{on<&roster::take_poll>(), on<&roster::take_exchange>()};
        dispatch(*this, table, it.from, it.body, with);
    }

    void tick(context& with) override
    {
        begin(with);
        forgive_own_pause(with);
        // Others fetch a new state, or count this instance among its holders, at once.
        bool const steered = steering().steering()->generation != told_generation_;
        if (steered || with.now >= exchange_due_)
        {
            exchange(with);
            expire(with);
        }
        answer_polls(with);
        answer_leaves(with);
    }

    std::vector<version_id> versions_of(service_id const& service) const override
    {
        return targets_.versions_of(service);
    }

    slots capacity_of(service_id const& service, version_id const& version) const override
    {
        return targets_.capacity_of(service, version);
    }

    std::vector<instance_description> control_since(instant since) const override
    {
        return controls_.known_since(since);
    }

    std::vector<messages::version_outcomes> take_outcomes() override
    {
        return std::exchange(outcomes_, {});
    }

    bool held_by_majority(generation_id it) const override
    {
        auto const own = services_.require<steering_view>().steering()->generation;
        return controls_.held_by_majority(it, own);
    }

    std::optional<endpoint> leader_address(instant now) const override
    {
        return controls_.leader_since(now - leader_word);
    }

private:
    /// One start of an entry instance, and where it is reached.
    struct process_at
    {
        endpoint peer;
        boot_id boot;

        friend bool operator==(process_at const&, process_at const&) = default;
    };
    /// A poll that waits for news.
    struct held_poll
    {
        messages::roster_poll what;
        instant due;
    };
    /// A target that waits until its leaving is held by a majority.
    struct waiting_leave
    {
        operator_request_id asker;
        target_id target;
        sequence_id number; ///< Of the first message to the others that tells of it.
        instant deadline;
    };

    steering_view& steering() { return services_.require<steering_view>(); }

    void begin(context& with)
    {
        if (epoch_ != boot_id())
            return;
        // Two starts within a second have the same boot number.
        epoch_ = boot_id(std::uniform_int_distribution<std::uint64_t>(1)(with.random));
        last_tick_ = with.now;
        for (auto const& [id, peer] : with.self.contacts)
            meet({.id = id, .region = {}, .domain = {}, .peer = peer, .caller = {}}, true, with);
    }

    void meet(instance_description const& who, bool kept, context& with)
    {
        if (who.id != with.self.self.id && controls_.add(who, kept, with.now))
            with.out.emplace_back(learn_instance{.id = who.id, .peer = who.peer});
    }

    void forgive_own_pause(context& with)
    {
        auto const pause = with.now - std::exchange(last_tick_, with.now);
        if (pause <= longest_pause)
            return;
        targets_.forgive(pause);
        with.events.record(
            stood_still_event,
            {{"for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(pause).count())}});
    }

    // Targets.

    void take_announcement(operator_request_id asker, target_announced const& it, context& with)
    {
        with.counters.add(announced_counter);
        bool const changed = targets_.take(it.what, with.now);
        if (changed)
            note_target(it.what, with);
        else
            with.counters.add(stale_counter);
        if (it.what.standing == messages::target_standing::serving)
            return with.answer(asker, announcement_taken{});
        await_majority(asker, it.what.id, with);
    }

    void take_leave(operator_request_id asker, target_leaves const& it, context& with)
    {
        with.counters.add(announced_counter);
        auto const* const known = targets_.take_leave(it.id, it.start, with.now);
        if (known == nullptr)
            return with.answer(asker, announcement_taken{.held = false});
        note_target(*known, with);
        await_majority(asker, it.id, with);
    }

    static void note_target(messages::target_notice const& it, context& with)
    {
        with.events.record(target_event, {{"target", it.id.value()},
                                          {"service", it.service.value()},
                                          {"version", it.version.value()},
                                          {"address", to_string(it.where)},
                                          {"start", std::to_string(it.start.value())},
                                          {"sequence", std::to_string(it.sequence.value())},
                                          {"cold_ms", std::to_string(it.cold_for.count())},
                                          {"standing", std::string(to_string(it.standing))}});
    }

    void await_majority(operator_request_id asker, target_id const& target, context& with)
    {
        exchange(with);
        leaves_.push_back({asker, target, number_, with.now + config_.leave_limit});
        answer_leaves(with);
    }

    void answer_leaves(context& with)
    {
        std::erase_if(leaves_,
                      [&](waiting_leave const& it)
                      {
                          bool const held = controls_.held_by_majority(it.number);
                          if (!held && with.now < it.deadline)
                              return false;
                          with.events.record(
                              leave_event,
                              {{"target", it.target.value()},
                               {"held", held ? "true" : "false"},
                               {"holders", std::to_string(controls_.holders(it.number))},
                               {"of", std::to_string(controls_.size())}});
                          with.answer(it.asker, announcement_taken{held});
                          return true;
                      });
    }

    // Control instances.

    void exchange(context& with)
    {
        exchange_due_ = with.now + config_.exchange_period;
        number_ = sequence_id(number_.value() + 1);
        auto const state = steering().steering();
        told_generation_ = state->generation;
        messages::roster_exchange common{.who = with.self.self,
                                         .operators = with.self.operators,
                                         .generation = state->generation,
                                         .steering = nullptr,
                                         .boot = epoch_,
                                         .number = number_,
                                         .targets = targets_.take_fresh(with.now),
                                         .entries = {},
                                         .outcomes = {},
                                         .control = {}};
        if (auto* const log = services_.find<replicated_log>())
            common.leads = log->may_act(with.now);
        common.entries = entries_.take_fresh(with.now);
        if (with.now >= introduction_due_)
        {
            introduction_due_ = with.now + introduction_period;
            common.control = controls_.known_since(with.now - remember_control);
        }
        for (auto& [id, it] : controls_.rows())
        {
            auto out = common;
            out.acknowledged_boot = it.boot;
            out.acknowledged = it.taken;
            out.wants_steering = it.generation > state->generation;
            if (std::exchange(it.wants_steering, false) && it.generation < state->generation)
                out.steering = state;
            if (!common.leads && it.leads)
                out.outcomes = outcomes_;
            with.send(id, std::move(out));
        }
        drop_sent_outcomes(common.leads, with);
    }

    void drop_sent_outcomes(bool leads, context& with)
    {
        if (leads)
            return;
        bool const sent = controls_.leader_since(with.now - leader_word).has_value();
        if (!sent && outcomes_.size() <= most_outcomes)
            return;
        if (!sent)
            with.counters.add(outcomes_dropped, outcomes_.size());
        outcomes_.clear();
    }

    void take_exchange(instance_id from, messages::roster_exchange const& it, context& with)
    {
        if (it.who.id != from)
            return;
        meet(it.who, false, with);
        controls_.heard(from, it, epoch_, with.now);
        for (auto const& each : it.control)
            meet(each, false, with);
        if (!it.control.empty())
            controls_.introduced();
        for (auto const& target : it.targets)
            if (targets_.take(target, with.now))
                note_target(target, with);
        for (auto const& entry : it.entries)
            entries_.take_told(entry, with.now);
        outcomes_.insert(outcomes_.end(), it.outcomes.begin(), it.outcomes.end());
        if (it.steering)
            steering().learn(it.steering);
        answer_leaves(with);
        // Who is behind asks with the next message; a leader's change is fetched at once.
        if (it.wants_steering || it.generation > steering().steering()->generation)
            exchange_due_ = with.now;
    }

    void expire(context& with)
    {
        targets_.expire(with.now - config_.target_silence, with.now);
        entries_.expire(with.now - config_.entry_silence);
        controls_.expire(with.now - remember_control);
    }

    // Entries.

    void take_poll(instance_id from, messages::roster_poll const& it, context& with)
    {
        with.counters.add(polls_counter);
        learn_entry(it.self, with);
        entries_.take_own(it.self, with.now);
        outcomes_.insert(outcomes_.end(), it.outcomes.begin(), it.outcomes.end());
        polls_[from] = {it, with.now + config_.poll_hold};
        answer_polls(with);
    }

    void learn_entry(messages::entry_notice const& it, context& with)
    {
        auto const at = learned_.find(it.who.id);
        bool const known = at != learned_.end();
        if (known && at->second == process_at{it.who.peer, it.boot})
            return;
        bool const restarted = known && at->second.boot != it.boot;
        learned_[it.who.id] = {it.who.peer, it.boot};
        with.out.emplace_back(
            learn_instance{.id = it.who.id, .peer = it.who.peer, .restarted = restarted});
    }

    bool is_connected(instant now) const { return controls_.hears_majority(now - contact); }

    bool has_news(messages::roster_poll const& it, instant now)
    {
        return it.held || !is_connected(now) || it.known_boot != epoch_ ||
               it.known < targets_.newest() || it.generation < steering().steering()->generation;
    }

    void answer_polls(context& with)
    {
        std::erase_if(polls_,
                      [&](auto const& each)
                      {
                          auto const& [id, it] = each;
                          if (with.now < it.due && !has_news(it.what, with.now))
                              return false;
                          answer_poll(id, it.what, with);
                          return true;
                      });
    }

    void answer_poll(instance_id to, messages::roster_poll const& it, context& with)
    {
        auto const state = steering().steering();
        auto const since = it.known_boot == epoch_ ? it.known : sequence_id();
        auto const& domain = it.self.who.domain;
        messages::roster_update out{.poll = it.self.sequence,
                                    .boot = epoch_,
                                    .newest = targets_.newest(),
                                    .connected = is_connected(with.now),
                                    .steering = state->generation > it.generation ? state : nullptr,
                                    .targets = targets_.changed_since(since, it.held, with.now),
                                    .control = controls_.known_since(with.now - remember_control),
                                    .entries_in_domain =
                                        std::max(entries_.ready_count_in(domain), 1U),
                                    .entries = std::max(entries_.ready_count(), 1U),
                                    .shares = entries_.shares_of(to),
                                    .demand = entries_.demand()};
        out.control.push_back(with.self.self);
        with.send(to, std::move(out));
    }

    void look_up(operator_request_id asker, entry_question const& it, context& with)
    {
        with.answer(asker, entries_told{.entries = entries_.ready_for(it.region, it.domain),
                                        .time_to_live = config_.answer_lifetime});
    }

    kernel::service_map& services_;
    roster_settings const& config_;
    boot_id epoch_; ///< Differs after each start.
    target_table targets_;
    entry_table entries_;
    control_table controls_;
    std::map<instance_id, process_at> learned_;
    std::map<instance_id, held_poll> polls_;
    std::vector<waiting_leave> leaves_;
    std::vector<messages::version_outcomes> outcomes_;
    sequence_id number_;
    generation_id told_generation_; ///< Of the last message to the other instances.
    instant exchange_due_;
    instant introduction_due_;
    instant last_tick_;
};

component_registrar<roster> const entered{"roster", component_order::roster};

} // namespace

} // namespace mulberryrudder::control
