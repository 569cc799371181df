#include "control_table.hpp"
#include "entry_table.hpp"
#include "leave_keeper.hpp"
#include "roster_events.hpp"
#include "roster_settings.hpp"
#include "state_confirmation.hpp"
#include "state_history.hpp"
#include "state_requests.hpp"
#include "table_sync.hpp"
#include "target_table.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/core/repeat_filter.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace mulberryrudder::control
{

namespace
{

/// Time after its last message for which a control instance stays in the table.
constexpr seconds control_retention{20};
/// Time for which an instance that sent no message stays in the table after another one named it:
/// a few lists of the known instances.
constexpr seconds naming_retention{3};
/// Time for which a report of another instance that it leads is valid: a few exchange
/// intervals.
constexpr milliseconds leader_report_lifetime{1000};
/// Time without a message after which another control instance counts as unreachable: four
/// exchange intervals.
constexpr milliseconds control_timeout{800};
/// Time between two messages that list the known control instances. The list seldom changes
/// and is as long as the rest of the message.
constexpr milliseconds member_list_interval{1000};
/// Least time between two messages to the other control instances that leaves of targets cause:
/// leaves in series share a message.
constexpr milliseconds leave_exchange_interval{40};
/// A longer time between two inputs means that the process was not running.
constexpr milliseconds max_input_gap{1000};
/// Time after the start within which entries that run report that they are ready, directly or to
/// another instance.
constexpr seconds settling_time{3};
/// Time after its last report to this instance for which an entry counts as one of its own: longer
/// than the time for which a poll is held, and a round trip.
constexpr milliseconds own_report_lifetime{1000};
/// Least time between two events about announcements of one target that are refused.
constexpr seconds refused_event_interval{10};
/// Limit of the targets about which events are held back; exceeds the number of targets that
/// announce themselves to one instance in that time.
constexpr std::size_t max_refused_senders = 4096;
/// Characters that are logged of the name of a target whose announcement is refused.
constexpr std::size_t max_logged_name = 64;

/// Keeps the targets, the entries and the other control instances of the fleet: accepts
/// announcements, replicates them to the other control instances, and answers entries' polls
/// and callers' look-ups.
///
/// Thread safety: the decision core's thread.
class roster final : public component,
                     public roster_view,
                     public spread_view,
                     public leader_directory,
                     public rate_division
{
public:
    explicit roster(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(roster_section))
    {
        parts.services.provide<roster_view>(*this);
        parts.services.provide<spread_view>(*this);
        parts.services.provide<leader_directory>(*this);
        parts.services.provide<rate_division>(*this);
    }

    void recovered(disk_recovered const& recovery, context& ctx) override
    {
        begin_input(ctx);
        keeper_.enable();
        if (recovery.failed)
            return keeper_.disk_lost();
        auto const* const record = recovery.record.get<messages::kept_roster>();
        // A copy may lack leaves that the disk it was made from acknowledged later.
        if (record != nullptr && !recovery.copied)
            restore(*record, ctx);
        keep_leaves(ctx);
    }

    void disk_lost(disk_failed const&, context&) override { keeper_.disk_lost(); }

    void reopened(disk_reopened const&, context& ctx) override
    {
        keeper_.disk_reopened();
        keep_leaves(ctx);
    }

    void kept(record_kept const& kept, context& ctx) override
    {
        begin_input(ctx);
        keeper_.written(kept.version);
        keep_leaves(ctx);
        answer_leaves(ctx);
    }

    bool asked(operator_asked const& request, context& ctx) override
    {
        begin_input(ctx);
        static std::array const table{on<&roster::handle_announcement>(),
                                      on<&roster::handle_unreadable_announcement>(),
                                      on<&roster::handle_leave>(), on<&roster::handle_look_up>()};
        return dispatch(*this, table, request.id, request.body, ctx);
    }

    void received(envelope const& message, context& ctx) override
    {
        begin_input(ctx);
        static std::array const table{on<&roster::handle_poll>(), on<&roster::handle_probe>(),
                                      on<&roster::handle_exchange>()};
        dispatch(*this, table, message.from, message.body, ctx);
    }

    void stopping(context&) override { stopping_ = true; }

    void tick(context& ctx) override
    {
        begin_input(ctx);
        if (!is_majority_reachable(ctx.now))
            begin_synchronization(ctx.now);
        finish_synchronization(ctx);
        update_confirmation(ctx);
        record_connection_change(ctx);
        // A new steering state is announced immediately, so that the other instances request
        // it or count this instance among its holders.
        history_.add(steering().steering());
        bool const steering_changed = steering().steering()->generation != sent_generation_;
        if (steering_changed || ctx.now >= exchange_due_)
        {
            keep_leaves(ctx);
            send_exchanges(ctx);
            expire(ctx);
        }
        answer_polls(ctx);
        answer_leaves(ctx);
    }

    std::vector<version_id> versions_of(service_id const& service) const override
    {
        return targets_.versions_of(service);
    }

    slots capacity_of(service_id const& service, version_id const& version) const override
    {
        return targets_.capacity_of(service, version);
    }

    std::vector<instance_description> control_since(instant cutoff) const override
    {
        return controls_.instances_since(cutoff);
    }

    std::optional<instant> control_last_heard(instance_id id) const override
    {
        return controls_.last_heard(id);
    }

    std::vector<messages::entry_notice> entry_notices() const override
    {
        return entries_.notices();
    }

    state_spread spread_of(generation_id generation) const override
    {
        auto const own = services_.require<steering_view>().steering()->generation;
        return {.holders = controls_.holder_count(generation, own), .total = controls_.total()};
    }

    std::optional<instance_id> leader(instant now) const override
    {
        auto const* const found = controls_.leader(now - leader_report_lifetime);
        return found == nullptr ? std::nullopt : std::optional(found->description.id);
    }

    std::optional<endpoint> leader_address(instant now) const override
    {
        auto const* const found = controls_.leader(now - leader_report_lifetime);
        return found == nullptr ? std::nullopt : std::optional(found->operator_address);
    }

    std::optional<per_mille> part(instant now) const override
    {
        if (now < entries_known_at_ || !is_connected(now))
            return std::nullopt;
        return entries_.part_reported_since(now - own_report_lifetime);
    }

private:
    /// One start of an entry instance, and its address.
    struct entry_process
    {
        endpoint peer;
        boot_id boot;

        friend bool operator==(entry_process const&, entry_process const&) = default;
    };
    /// A poll that waits for an update.
    struct held_poll
    {
        messages::roster_poll poll;
        instant received;
        instant deadline;
    };
    /// A leaving target that gets its answer once a majority knows that it leaves.
    struct pending_leave
    {
        operator_request_id requester;
        target_id target;
        sequence_id number;     ///< Of the first exchange that contains the leave.
        record_version version; ///< Of the record on the own disk that contains it.
        instant deadline;
    };

    /// What the record on the disk depends on.
    struct record_contents
    {
        std::uint64_t leaves = 0; ///< Version of the leaves.
        std::vector<instance_description> control;
        bool intact = false;

        friend bool operator==(record_contents const&, record_contents const&) = default;
    };

    steering_view& steering() { return services_.require<steering_view>(); }

    /// Must come before all else for each input, since messages may wait for this process while
    /// it is suspended, and be handled before the next tick.
    void begin_input(context& ctx)
    {
        initialize(ctx);
        compensate_for_pause(ctx);
    }

    void initialize(context& ctx)
    {
        if (boot_ != boot_id())
            return;
        // Drawn at random, since two starts within a second have the same identity::boot.
        boot_ = boot_id(std::uniform_int_distribution<std::uint64_t>(1)(ctx.random));
        last_input_ = ctx.now;
        entries_known_at_ = ctx.now + settling_time;
        begin_synchronization(ctx.now);
        for (auto const& [id, peer] : ctx.self.contacts)
            add_control({.id = id, .region = {}, .domain = {}, .peer = peer, .caller = {}}, true,
                        ctx);
    }

    void add_control(instance_description const& description, bool is_contact, context& ctx)
    {
        if (description.id != ctx.self.self.id && controls_.add(description, is_contact, ctx.now))
            ctx.out.emplace_back(learn_instance{.id = description.id, .peer = description.peer});
    }

    void compensate_for_pause(context& ctx)
    {
        auto const pause = ctx.now - std::exchange(last_input_, ctx.now);
        if (pause <= max_input_gap)
            return;
        targets_.extend_expiry(pause);
        begin_synchronization(ctx.now);
        ctx.events.record(
            pause_event,
            {{"for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(pause).count())}});
    }

    bool is_majority_reachable(instant now) const
    {
        return controls_.is_majority_reachable(now - control_timeout);
    }

    void begin_synchronization(instant now)
    {
        sync_.begin(now + config_.target_timeout, exchange_number_);
    }

    void finish_synchronization(context& ctx)
    {
        if (sync_.finish(controls_.total(), ctx.now))
            ctx.events.record(synchronized_event,
                              {{"tables", std::to_string(sync_.received_count())},
                               {"of", std::to_string(controls_.size())}});
    }

    /// Takes over what an earlier start of this instance kept on the disk.
    void restore(messages::kept_roster const& record, context& ctx)
    {
        for (auto const& it : record.targets)
            targets_.restore(it, ctx.now);
        for (auto const& it : record.control)
            if (it.id != ctx.self.self.id)
            {
                add_control(it, false, ctx);
                controls_.restore(it.id, ctx.now);
            }
        // Without them, an instance that hears few others would take these for all.
        if (!record.control.empty())
            controls_.mark_members_received();
        if (record.intact)
            sync_.restore();
        ctx.events.record(restored_event, {{"leaves", std::to_string(record.targets.size())},
                                           {"control", std::to_string(record.control.size())},
                                           {"intact", record.intact ? "true" : "false"}});
    }

    /// Marks what the record on the disk does not contain yet.
    void mark_changes()
    {
        record_contents contents{.leaves = targets_.leaves_version(),
                                 .control = controls_.known_instances(),
                                 .intact = sync_.is_intact()};
        if (contents == marked_contents_)
            return;
        marked_contents_ = std::move(contents);
        keeper_.mark_changed();
    }

    /// Writes the leaves to the disk if there are new ones.
    void keep_leaves(context& ctx)
    {
        mark_changes();
        auto const version = keeper_.begin_write();
        if (!version)
            return;
        messages::kept_roster record{.intact = marked_contents_.intact,
                                     .targets = targets_.leaves(ctx.now),
                                     .control = marked_contents_.control};
        ctx.out.emplace_back(
            keep_record{.version = *version, .contents = any_message::of(std::move(record))});
    }

    bool leads(instant now) const
    {
        auto const* const log = services_.find<replicated_log>();
        return log != nullptr && log->may_act(now);
    }

    void update_confirmation(context& ctx)
    {
        if (leads(ctx.now))
            confirmation_.record_lease(ctx.now);
        confirmed_at_ = confirmation_.confirmed_at(steering().steering()->generation);
        bool const current = is_current(ctx.now);
        if (std::exchange(was_current_, current) == current)
            return;
        auto const age = confirmed_age(ctx.now);
        ctx.events.record(
            confirmation_event,
            {{"confirmed", current ? "true" : "false"},
             {"age_ms", std::to_string(age ? age->count() : -1)},
             {"generation", std::to_string(steering().steering()->generation.value())},
             {"newest", std::to_string(controls_.newest_generation().value())}});
    }

    void record_connection_change(context& ctx)
    {
        bool const connected = is_connected(ctx.now);
        if (std::exchange(was_connected_, connected) == connected)
            return;
        ctx.events.record(
            connection_event,
            {{"connected", connected ? "true" : "false"},
             {"heard", std::to_string(controls_.reachable_count(ctx.now - control_timeout))},
             {"of", std::to_string(controls_.size())},
             {"synchronized", sync_.is_synchronized() ? "true" : "false"}});
    }

    /// Returns the time since the steering state was confirmed, rounded up; nothing if it never
    /// was.
    std::optional<milliseconds> confirmed_age(instant now) const
    {
        if (!confirmed_at_)
            return std::nullopt;
        return std::chrono::ceil<milliseconds>(now - *confirmed_at_);
    }

    /// Returns whether entries may rely on the steering state of this instance.
    bool is_current(instant now) const
    {
        return confirmed_at_ && now - *confirmed_at_ <= config_.confirmation_lifetime;
    }

    // Targets.

    void handle_announcement(operator_request_id requester, target_announced const& announcement,
                             context& ctx)
    {
        ctx.counters.add(announced_counter);
        bool const changed = targets_.update(announcement.what, std::nullopt, ctx.now);
        if (changed)
            record_target_change(announcement.what, ctx);
        else
            ctx.counters.add(stale_counter);
        if (announcement.what.standing == messages::target_standing::serving)
            return ctx.answer(requester, announcement_taken{});
        await_majority(requester, announcement.what.id, ctx);
    }

    void handle_unreadable_announcement(operator_request_id requester,
                                        announcement_unreadable const& announcement, context& ctx)
    {
        ctx.counters.add(refused_counter);
        auto const name = announcement.id.value().substr(0, max_logged_name);
        if (refused_events_.select(name, ctx.now))
        {
            auto const& first = announcement.failed.front();
            ctx.events.record(
                refused_event,
                {{"target", name}, {"place", first.place}, {"expected", first.expected}});
        }
        ctx.answer(requester, announcement_refused{announcement.failed});
    }

    void handle_leave(operator_request_id requester, target_leaves const& leave, context& ctx)
    {
        ctx.counters.add(announced_counter);
        auto const* const known = targets_.deregister(leave.id, leave.start, ctx.now);
        if (known == nullptr)
            return ctx.answer(requester, announcement_taken{.held = false});
        record_target_change(*known, ctx);
        await_majority(requester, leave.id, ctx);
    }

    static void record_target_change(messages::target_notice const& notice, context& ctx)
    {
        ctx.events.record(target_event, {{"target", notice.id.value()},
                                         {"service", notice.service.value()},
                                         {"version", notice.version.value()},
                                         {"address", to_string(notice.where)},
                                         {"start", std::to_string(notice.start.value())},
                                         {"sequence", std::to_string(notice.sequence.value())},
                                         {"cold_ms", std::to_string(notice.cold_for.count())},
                                         {"standing", std::string(to_string(notice.standing))}});
    }

    void await_majority(operator_request_id requester, target_id const& target, context& ctx)
    {
        exchange_due_ =
            std::min(exchange_due_, std::max(last_exchange_ + leave_exchange_interval, ctx.now));
        keep_leaves(ctx);
        pending_leaves_.push_back({.requester = requester,
                                   .target = target,
                                   .number = next_exchange_number(),
                                   .version = keeper_.current(),
                                   .deadline = ctx.now + config_.leave_timeout});
        answer_leaves(ctx);
    }

    sequence_id next_exchange_number() const { return sequence_id(exchange_number_.value() + 1); }

    void answer_leaves(context& ctx)
    {
        std::erase_if(pending_leaves_,
                      [&](pending_leave const& it)
                      {
                          bool const is_kept_here = keeper_.is_kept(it.version);
                          auto const holders = controls_.kept_count(it.number, is_kept_here);
                          bool const held = controls_.is_majority(holders);
                          if (!held && ctx.now < it.deadline)
                              return false;
                          ctx.events.record(leave_event,
                                            {{"target", it.target.value()},
                                             {"held", held ? "true" : "false"},
                                             {"holders", std::to_string(holders)},
                                             {"of", std::to_string(controls_.size())},
                                             {"kept_here", is_kept_here ? "true" : "false"}});
                          ctx.answer(it.requester, announcement_taken{held});
                          return true;
                      });
    }

    // Control instances.

    /// Returns what an exchange tells all control instances.
    messages::roster_exchange make_exchange(shared_steering const& state, context& ctx)
    {
        messages::roster_exchange out{.who = ctx.self.self,
                                      .operators = ctx.self.operators,
                                      .generation = state->generation,
                                      .steering = nullptr,
                                      .boot = boot_,
                                      .number = exchange_number_,
                                      .targets = {},
                                      .entries = {},
                                      .control = {},
                                      .heard = controls_.heard_since(ctx.now - control_timeout)};
        out.leads = leads(ctx.now);
        update_confirmation(ctx);
        out.confirmed_age = confirmed_age(ctx.now);
        out.intact = sync_.is_intact();
        out.keeps_leaves = keeper_.is_enabled();
        auto reports = entries_.take_unforwarded(ctx.now);
        out.entries = std::move(reports.notices);
        out.unchanged_entries = std::move(reports.unchanged);
        if (ctx.now >= member_list_due_)
        {
            member_list_due_ = ctx.now + member_list_interval;
            out.control = controls_.known_instances();
        }
        return out;
    }

    void send_exchanges(context& ctx)
    {
        exchange_due_ = ctx.now + config_.exchange_interval;
        last_exchange_ = ctx.now;
        exchange_number_ = next_exchange_number();
        auto const state = steering().steering();
        sent_generation_ = state->generation;
        auto const common = make_exchange(state, ctx);
        confirmation_.record_sent(exchange_number_, ctx.now);
        // Tables that come while too few instances can be reached do not end the synchronization.
        bool const wants_tables = is_majority_reachable(ctx.now);
        auto const state_source =
            state_requests_.next(controls_.rows(), state->generation, ctx.self.self.region,
                                 ctx.now - control_timeout, ctx.now);
        auto const notices = targets_.take_unforwarded(exchange_number_, ctx.now);
        for (auto& [id, it] : controls_.rows())
        {
            auto out = common;
            out.acknowledged_boot = it.boot;
            out.acknowledged = it.received;
            out.kept = keeper_.kept_of(id, it.boot);
            out.wants_steering = state_source == id;
            if (std::exchange(it.wants_steering, false) && it.generation < state->generation)
                out.steering = state;
            out.missed_notices = missed_notices_.erase(id) != 0;
            out.wants_targets = wants_tables && sync_.request_table_of(id, ctx.now);
            if (std::exchange(it.wants_targets, false) && sync_.is_intact())
            {
                out.targets = targets_.all(ctx.now);
                out.has_all_targets = true;
                out.control = controls_.known_instances();
            }
            else
            {
                if (std::exchange(it.missed_notices, false))
                    out.targets = targets_.own(ctx.now);
                add_notices(id, it, notices, out);
            }
            ctx.send(id, std::move(out));
        }
    }

    static void add_notices(instance_id receiver, control_table::row const& known,
                            std::vector<outgoing_notice> const& notices,
                            messages::roster_exchange& out)
    {
        for (auto const& it : notices)
        {
            if (!needs(receiver, known, it))
                continue;
            if (it.unchanged)
                out.unchanged_targets.push_back(
                    {.id = it.notice.id, .start = it.notice.start, .sequence = it.notice.sequence});
            else
                out.targets.push_back(it.notice);
        }
    }

    /// Returns whether a notice is to be sent to another control instance. All instances forward
    /// the end of a target until they know that the receiver holds it. Other notices are
    /// forwarded by the instance that received them from the target, and to instances that do
    /// not hear that one.
    static bool needs(instance_id receiver, control_table::row const& known,
                      outgoing_notice const& notice)
    {
        if (notice.first_exchange)
            return known.acknowledged < *notice.first_exchange;
        if (!notice.source)
            return true;
        return receiver != *notice.source && std::find(known.heard.begin(), known.heard.end(),
                                                       *notice.source) == known.heard.end();
    }

    void handle_exchange(instance_id sender, messages::roster_exchange const& exchange,
                         context& ctx)
    {
        if (exchange.who.id != sender)
            return;
        add_control(exchange.who, false, ctx);
        controls_.record_exchange(sender, exchange, boot_, exchange_number_, ctx.now);
        if (exchange.confirmed_age && exchange.acknowledged_boot == boot_)
            confirmation_.record_report(exchange.acknowledged, exchange.generation,
                                        *exchange.confirmed_age);
        for (auto const& instance : exchange.control)
            add_control(instance, false, ctx);
        if (!exchange.control.empty())
            controls_.mark_members_received();
        for (auto const& target : exchange.targets)
            if (targets_.update(target, sender, ctx.now))
                record_target_change(target, ctx);
        for (auto const& target : exchange.unchanged_targets)
        {
            if (!targets_.is_known(target.id, target.start))
                missed_notices_.insert(sender);
            if (targets_.refresh(target, sender, ctx.now))
                record_target_change(*targets_.find(target.id), ctx);
        }
        keep_leaves(ctx);
        keeper_.record_message(sender, exchange.boot, exchange.number);
        for (auto const& entry : exchange.entries)
            entries_.update_from_control(entry, ctx.now);
        for (auto const& entry : exchange.unchanged_entries)
            entries_.refresh(entry, ctx.now);
        if (exchange.has_all_targets && exchange.acknowledged_boot == boot_)
            sync_.record_table(sender, exchange.acknowledged);
        finish_synchronization(ctx);
        if (exchange.steering)
        {
            state_requests_.record_answer(sender);
            steering().learn(exchange.steering);
        }
        answer_leaves(ctx);
        // An instance with an older state requests the newer one in its next exchange. That
        // exchange, or the one that answers a request, is sent with the next tick.
        if (exchange.wants_steering || (exchange.wants_targets && sync_.is_intact()) ||
            exchange.generation > steering().steering()->generation)
            exchange_due_ = ctx.now;
    }

    void expire(context& ctx)
    {
        targets_.expire(ctx.now - config_.target_timeout, ctx.now);
        entries_.expire(ctx.now - config_.entry_timeout);
        if (is_current(ctx.now))
            controls_.expire(ctx.now - control_retention, ctx.now - naming_retention);
    }

    // Entries.

    void handle_poll(instance_id sender, messages::roster_poll const& poll, context& ctx)
    {
        ctx.counters.add(polls_counter);
        update_entry_address(poll.self.who, poll.self.boot, ctx);
        entries_.update_from_entry(poll.self, ctx.now);
        for (auto const& it : poll.departed)
            if (auto const* const notice = targets_.depart(it.id, it.start, ctx.now))
                record_target_change(*notice, ctx);
        polls_[sender] = {poll, ctx.now, ctx.now + config_.poll_timeout};
        answer_polls(ctx);
    }

    void handle_probe(instance_id sender, messages::roster_probe const& probe, context& ctx)
    {
        update_entry_address(probe.who, probe.boot, ctx);
        ctx.send(sender,
                 messages::roster_probe_reply{.number = probe.number,
                                              .generation = steering().steering()->generation,
                                              .connected = is_connected(ctx.now),
                                              .current = is_current(ctx.now)});
    }

    void update_entry_address(instance_description const& entry, boot_id boot, context& ctx)
    {
        auto const known_process = entry_processes_.find(entry.id);
        bool const is_known = known_process != entry_processes_.end();
        if (is_known && known_process->second == entry_process{entry.peer, boot})
            return;
        bool const restarted = is_known && known_process->second.boot != boot;
        entry_processes_[entry.id] = {entry.peer, boot};
        ctx.out.emplace_back(
            learn_instance{.id = entry.id, .peer = entry.peer, .restarted = restarted});
    }

    /// Returns whether entries may rely on this instance's answers: it does not stop, hears the
    /// others and missed no leave, unless no other instance can tell it what it missed.
    bool is_connected(instant now) const
    {
        return !stopping_ && is_majority_reachable(now) &&
               (sync_.is_synchronized() || !controls_.any_intact());
    }

    bool has_update(messages::roster_poll const& poll, instant now)
    {
        return poll.held || !is_connected(now) || (!poll.searching && !is_current(now)) ||
               poll.known_boot != boot_ || poll.known < targets_.newest_change() ||
               poll.generation < steering().steering()->generation;
    }

    void answer_polls(context& ctx)
    {
        std::erase_if(polls_,
                      [&](auto const& each)
                      {
                          auto const& [id, it] = each;
                          if (ctx.now < it.deadline && !has_update(it.poll, ctx.now))
                              return false;
                          answer_poll(id, it, ctx);
                          return true;
                      });
    }

    void answer_poll(instance_id receiver, held_poll const& held, context& ctx)
    {
        auto const& poll = held.poll;
        auto const state = steering().steering();
        auto const since = poll.known_boot == boot_ ? poll.known : sequence_id();
        messages::roster_update out{.poll = poll.self.sequence,
                                    .boot = boot_,
                                    .newest = targets_.newest_change(),
                                    .connected = is_connected(ctx.now),
                                    .current = is_current(ctx.now),
                                    .confirmed_age = confirmed_age(ctx.now),
                                    .held_for =
                                        std::chrono::floor<milliseconds>(ctx.now - held.received),
                                    .targets = targets_.changed_since(since, poll.held, ctx.now),
                                    .has_fleet = poll.wants_fleet};
        if (state->generation > poll.generation)
            add_state(poll, state, out);
        if (poll.wants_fleet)
            add_fleet(poll.self.who.domain, out, ctx);
        ctx.send(receiver, std::move(out));
    }

    /// Adds a state that is newer than the one of a poll, as a difference where possible.
    void add_state(messages::roster_poll const& poll, shared_steering const& state,
                   messages::roster_update& out)
    {
        history_.add(state);
        auto const* const difference =
            poll.takes_difference ? history_.difference_from(poll.generation) : nullptr;
        if (difference != nullptr)
            out.difference = *difference;
        else
            out.steering = state;
    }

    void add_fleet(domain_id const& domain, messages::roster_update& out, context& ctx) const
    {
        out.control = controls_.instances_since(ctx.now - control_retention);
        out.control.push_back(ctx.self.self);
        out.entries_in_domain = std::max(entries_.ready_count_in(domain), 1U);
        out.entries_incomplete = ctx.now < entries_known_at_;
        out.entries = std::max(entries_.ready_count(), 1U);
    }

    void handle_look_up(operator_request_id requester, entry_question const& question, context& ctx)
    {
        auto found = entries_.ready_for(question.region, question.domain);
        auto const limit = static_cast<std::size_t>(config_.max_look_up_entries);
        if (found.size() > limit)
        {
            std::shuffle(found.begin(), found.end(), ctx.random);
            found.resize(limit);
        }
        ctx.answer(requester, entries_told{.entries = std::move(found),
                                           .time_to_live = config_.answer_lifetime});
    }

    kernel::service_map& services_;
    roster_settings const& config_;
    boot_id boot_; ///< Random; differs after each start.
    target_table targets_;
    repeat_filter refused_events_{refused_event_interval, max_refused_senders};
    entry_table entries_;
    control_table controls_;
    table_sync sync_;
    leave_keeper keeper_;
    record_contents marked_contents_; ///< Of the newest version of the record.
    /// Instances that know targets of which no whole notice arrived here.
    std::set<instance_id> missed_notices_;
    state_confirmation confirmation_;
    state_history history_;
    state_requests state_requests_;
    std::optional<instant> confirmed_at_; ///< Of the steering state, as of the last tick.
    bool was_current_ = false;            ///< As of the last tick.
    bool was_connected_ = false;          ///< As of the last tick.
    bool stopping_ = false;               ///< A planned stop began.
    std::map<instance_id, entry_process> entry_processes_;
    std::map<instance_id, held_poll> polls_;
    std::vector<pending_leave> pending_leaves_;
    sequence_id exchange_number_;
    generation_id sent_generation_; ///< Of the last exchange sent.
    instant exchange_due_;
    instant last_exchange_;
    instant member_list_due_;
    instant last_input_;
    instant entries_known_at_; ///< Until then entries may run that did not report yet.
};

component_registrar<roster> const registrar{"roster", component_order::roster};

} // namespace

} // namespace mulberryrudder::control
