#include "part_ledger.hpp"
#include "question_relay.hpp"
#include "quota_ledger.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/core/message_number.hpp>
#include <mulberryrudder/messages/quota.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryrudder::control
{

namespace
{

struct ledger_settings
{
    requests pooled{10};
    requests pooled_alone{20};
    milliseconds ahead_lifetime{2000};
    milliseconds relay_interval{20};
    milliseconds answer_timeout{150};
    milliseconds retry_interval{500};
};

constexpr kernel::limits time_limits{1, 60'000};

kernel::section<ledger_settings> const ledger_section{
    "quota_ledger",
    {
        kernel::field(
            "pooled", &ledger_settings::pooled, {0, 10'000},
            "Requests of a customer beyond its burst that the leader admits at once; less "
            "than the operators tolerate, since entries that the leader does not answer "
            "admit some by themselves."),
        kernel::field("pooled_alone", &ledger_settings::pooled_alone, {0, 10'000},
                      "The same for all control instances together while no leader answers and "
                      "each admits from its part of the rates."),
        kernel::field("ahead_lifetime", &ledger_settings::ahead_lifetime, {0, 60'000},
                      "Milliseconds for which a request may come that the leader admitted before "
                      "its arrival."),
        kernel::field("relay_period", &ledger_settings::relay_interval, time_limits,
                      "Least milliseconds between two questions to the leader, each of which joins "
                      "those of all entries that report to this instance."),
        kernel::field("answer_limit", &ledger_settings::answer_timeout, time_limits,
                      "Milliseconds for which an answer is awaited before another control instance "
                      "is asked, or this one decides. Entries wait longer."),
        kernel::field("retry_period", &ledger_settings::retry_interval, time_limits,
                      "Milliseconds after a missing answer in which that instance is not asked."),
    }};

kernel::counter_kind const questions_counter{"quota.questions",
                                             "Questions of entries whether to admit requests."};
kernel::counter_kind const relayed_counter{
    "quota.relayed",
    "Questions to the leader, or to a substitute, that join those of several entries."};
kernel::counter_kind const admitted_counter{
    "quota.admitted", "Requests that were admitted as the leader or from parts of the rates."};
kernel::counter_kind const refused_counter{
    "quota.refused",
    "Requests that were refused as the leader or beyond parts of the rates, over the "
    "customer's rate."};

kernel::counter_kind const parts_counter{
    "quota.decided_by_parts",
    "Questions that this instance decided by parts of the rates, since no leader answered."};
kernel::event_kind const authority_event{
    {.number = 760,
     .name = "quota.authority_changed",
     .level = kernel::severity::warning,
     .meaning =
         "Who admits the requests of this instance's entries: the leader, from the whole rates "
         "(`leader`); while no leader answers, another control instance, to which the others lend "
         "their parts of the rates (`substitute`), or this one (`own`). `part` is this instance's "
         "part of the rates in thousandths, -1 while it does not know it and the entries decide.",
     .action = "Unless the leader admits them, find out why there is none: see "
               "`replica.leader_missing`, and the connections to the leader."}};

kernel::event_kind const parts_event{
    {.number = 761,
     .name = "quota.parts_exceed_rates",
     .level = kernel::severity::warning,
     .meaning = "What this instance may admit of each rate, and the parts from which entries "
                "admitted alone in the last second, add up to `sum` thousandths, which is more "
                "than the rates, or is not any more; `entries` is the number of these entries.",
     .action = "Customers that ask for more than their rates may get more meanwhile. Check the "
               "connections between these entries and control: see `quota.admitted_alone` there, "
               "and `quota.authority_changed`."}};
/// Time between two sums of the parts in use.
constexpr milliseconds parts_check_interval{1000};

/// Who admits the requests of this instance's entries.
enum class authority : std::uint8_t
{
    leader,
    substitute, ///< Another control instance, while no leader answers.
    own         ///< This one, while no leader answers.
};

constexpr std::array<std::string_view, 3> authority_names{"leader", "substitute", "own"};

/// Time for which the leader's last answer tells which customers used up most of their bursts.
constexpr milliseconds pressed_lifetime{500};
/// Time within which a control instance must have been heard to admit requests for this one: a few
/// exchange intervals.
constexpr milliseconds substitute_silence{500};

/// Time after a question in which a part counts as lent; less than a loan's lifetime and a round
/// trip.
constexpr milliseconds loan_interval{400};

/// Admits requests of customers with a rate: as the leader from the rate itself, else by asking
/// the leader. While no leader answers, the control instances lend their parts of the rates to the
/// one with the lowest number that they hear; one that gets no answer there either admits from its
/// own part. Split over the entries, the rates would leave less than a request to each of them, and
/// most requests of a customer below its rate would be refused.
///
/// Thread safety: the decision core's thread.
class quota_keeper final : public component
{
public:
    explicit quota_keeper(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(ledger_section)),
          parts_(config_.pooled_alone)
    {
    }

    void received(envelope const& message, context& ctx) override
    {
        static std::array const table{on<&quota_keeper::handle_question>(),
                                      on<&quota_keeper::handle_answer>()};
        dispatch(*this, table, message.from, message.body, ctx);
    }

    void leading(context& ctx) override
    {
        ledger_.emplace(config_.pooled, ctx.now);
        charge_.reset();
        parts_.take_spent();
        change_authority(authority::leader, ctx);
    }

    void following(context&) override { ledger_.reset(); }

    void tick(context& ctx) override
    {
        for (auto& it : relay_.take_overdue(ctx.now))
            ask_elsewhere(it.recipient, std::move(it.parts), ctx);
        relay_questions(ctx);
        renew_loan(ctx);
        if (ctx.now >= parts_check_due_)
            check_parts(ctx);
    }

private:
    /// What a question to the leader tells it of requests that were admitted from parts.
    struct told_charge
    {
        sequence_id question;
        std::map<customer_id, requests> spent;
    };

    void handle_question(instance_id sender, messages::quota_question const& question, context& ctx)
    {
        if (acts_as_leader(ctx.now))
            return ctx.send(sender, decide_as_leader(question, ctx));
        bool const can_forward =
            !question.forwarded && answering_leader(ctx.now) && ctx.now < pressed_until_;
        if (question.relayed && !can_forward)
            return ctx.send(sender, decide_as_substitute(sender, question, ctx));
        ctx.counters.add(questions_counter);
        relay_.add(sender, question);
        relay_questions(ctx);
    }

    void handle_answer(instance_id sender, messages::quota_answer const& answer, context& ctx)
    {
        if (!answer.pressed && answer.grants.empty())
            return ask_elsewhere(sender, relay_.take_joined(answer.number), ctx);
        auto const replies = relay_.divide(answer);
        if (replies.empty())
            return;
        silent_until_.erase(sender);
        if (answer.pressed)
            leader_answered(sender, answer, ctx);
        else
            change_authority(authority::substitute, ctx);
        for (auto const& it : replies)
            ctx.send(it.entry, it.answer);
    }

    /// Precondition: the answer is the leader's own, or was forwarded by the sender.
    void leader_answered(instance_id leader, messages::quota_answer const& answer, context& ctx)
    {
        if (charge_ && charge_->question == answer.number)
            charge_.reset();
        record_pressed(*answer.pressed, ctx.now);
        if (leader == services_.require<leader_directory>().leader(ctx.now))
            answering_leader_ = leader;
        change_authority(authority::leader, ctx);
    }

    void record_pressed(std::vector<customer_id> const& customers, instant now)
    {
        pressed_ = {customers.begin(), customers.end()};
        pressed_until_ = now + pressed_lifetime;
    }

    /// Asks the next instance about questions that one did not decide.
    void ask_elsewhere(instance_id undecided, std::vector<question_relay::entry_question> questions,
                       context& ctx)
    {
        if (questions.empty())
            return;
        silent_until_[undecided] = ctx.now + config_.retry_interval;
        if (charge_)
        {
            // The leader may not have been told, and is told again.
            parts_.add_spent(charge_->spent);
            charge_.reset();
        }
        relay_.put_back(std::move(questions));
        relay_questions(ctx);
    }

    /// Records whether the parts of the rates that are in use add up to more than the rates.
    void check_parts(context& ctx)
    {
        parts_check_due_ = ctx.now + parts_check_interval;
        per_mille sum;
        if (acts_as_leader(ctx.now))
            sum = whole_share;
        else if (authority_ == authority::own)
            sum = parts_.available(own_part(ctx.now), ctx.now);
        std::size_t entries = 0;
        for (auto const& it : services_.require<roster_view>().entry_notices())
        {
            sum += it.part_in_use;
            entries += it.part_in_use != per_mille();
        }
        bool const exceed = sum > whole_share;
        if (std::exchange(parts_exceed_, exceed) != exceed)
            ctx.events.record(parts_event, {{"sum", std::to_string(sum.count())},
                                            {"entries", std::to_string(entries)}});
    }

    bool acts_as_leader(instant now) const
    {
        return ledger_ && services_.require<replicated_log>().may_act(now);
    }

    bool is_silent(instance_id id, instant now) const
    {
        auto const found = silent_until_.find(id);
        return found != silent_until_.end() && now < found->second;
    }

    /// Returns the leader, unless it did not answer a moment ago.
    std::optional<instance_id> answering_leader(instant now) const
    {
        auto const leader = services_.require<leader_directory>().leader(now);
        return leader && !is_silent(*leader, now) ? leader : std::nullopt;
    }

    /// Returns the control instance that admits requests for all others that hear it, or asks a
    /// leader that it hears; nothing if it is this one, or did not answer a moment ago.
    std::optional<instance_id> substitute(context const& ctx) const
    {
        auto lowest = ctx.self.self.id;
        for (auto const& it :
             services_.require<roster_view>().control_since(ctx.now - substitute_silence))
            lowest = std::min(lowest, it.id);
        return lowest == ctx.self.self.id || is_silent(lowest, ctx.now) ? std::nullopt
                                                                        : std::optional(lowest);
    }

    std::optional<per_mille> own_part(instant now) const
    {
        return services_.require<rate_division>().part(now);
    }

    messages::quota_answer decide_as_leader(messages::quota_question const& question, context& ctx)
    {
        charge(question.spent, ctx);
        auto const admit = [&](plan_customer const& customer, requests wanted, requests expected)
        {
            messages::quota_grant out{.customer = customer.id,
                                      .admitted = ledger_->admit(customer, wanted, ctx.now),
                                      .retry_after = ledger_->time_until_next(customer.id)};
            out.ahead =
                ledger_->admit_ahead(customer, expected, ctx.now + config_.ahead_lifetime, ctx.now);
            return out;
        };
        for (auto const& [customer, used] : question.used_ahead)
            ledger_->settle_ahead(customer, used, ctx.now);
        auto out = decide(question, admit, ctx);
        out.pressed = ledger_->pressed_customers(ctx.now);
        record_pressed(*out.pressed, ctx.now);
        out.ahead_lifetime = config_.ahead_lifetime;
        return out;
    }

    /// Answers without grants unless the sender lends its part, a leader does not answer here
    /// either, and this instance does not lend its own part.
    messages::quota_answer
    decide_as_substitute(instance_id sender, messages::quota_question const& question, context& ctx)
    {
        bool const has_leader = authority_ == authority::leader && answering_leader(ctx.now);
        bool const lends = authority_ == authority::substitute && substitute(ctx);
        if (!question.part || has_leader || lends)
            return {.number = question.number, .grants = {}, .pressed = std::nullopt};
        change_authority(authority::own, ctx);
        parts_.lend(sender, *question.part, ctx.now);
        return decide_by_parts(question, ctx);
    }

    void decide_alone(std::vector<question_relay::entry_question> const& questions, context& ctx)
    {
        change_authority(authority::own, ctx);
        for (auto const& it : questions)
            ctx.send(it.entry, decide_by_parts(it.question, ctx));
    }

    /// Answers without grants while no part of the rates is known; the entries decide then.
    messages::quota_answer decide_by_parts(messages::quota_question const& question, context& ctx)
    {
        parts_.add_spent(question.spent);
        auto const part = parts_.available(own_part(ctx.now), ctx.now);
        if (part == per_mille())
            return {.number = question.number, .grants = {}, .pressed = std::nullopt};
        ctx.counters.add(parts_counter);
        // Nothing is admitted ahead: a leader may answer soon, and does not know of it.
        auto const admit = [&](plan_customer const& customer, requests wanted, requests)
        {
            return messages::quota_grant{.customer = customer.id,
                                         .admitted = parts_.admit(customer, wanted, part, ctx.now),
                                         .retry_after = parts_.time_until_next(customer.id)};
        };
        return decide(question, admit, ctx);
    }

    /// Lets what other instances admitted from parts of the rates count as admitted here.
    void charge(std::map<customer_id, requests> const& spent, context& ctx)
    {
        auto const plan = services_.require<steering_view>().steering()->plan;
        if (!plan)
            return;
        for (auto const& [id, count] : spent)
            if (auto const* const customer = find_customer(*plan, id);
                customer != nullptr && customer->rate != millitokens_per_second())
                ledger_->charge(*customer, count, ctx.now);
    }

    /// Adds what this instance admitted from parts, in one question at a time. Another leader than
    /// the last one that answered began with nearly empty buckets, so it is not charged.
    void add_charge(messages::quota_question& question, instance_id leader)
    {
        if (charge_)
            return;
        auto const spent = parts_.take_spent();
        if (leader != answering_leader_ || spent.empty())
            return;
        for (auto const& [customer, count] : spent)
            question.spent[customer] += count;
        charge_ = {.question = question.number, .spent = spent};
    }

    void change_authority(authority next, context& ctx)
    {
        auto const previous = std::exchange(authority_, next);
        if (previous == next)
            return;
        // What a substitute left of the bursts is not known.
        bool const knows_pressed = previous == authority::leader && ctx.now < pressed_until_;
        if (next == authority::own)
            parts_.open(knows_pressed ? std::optional(pressed_) : std::nullopt, ctx.now);
        auto const part = own_part(ctx.now);
        ctx.events.record(
            authority_event,
            {{"authority", std::string(authority_names.at(static_cast<std::size_t>(next)))},
             {"part", std::to_string(part ? part->count() : -1)}});
    }

    /// Grants what `admit` returns to each customer with a rate, and all to the others; leaves out
    /// unknown customers.
    template <class Admit>
    messages::quota_answer decide(messages::quota_question const& question, Admit const& admit,
                                  context& ctx) const
    {
        messages::quota_answer out{
            .number = question.number, .grants = {}, .pressed = std::nullopt};
        auto const plan = services_.require<steering_view>().steering()->plan;
        if (!plan)
            return out;
        // A customer may be in either list or in both.
        std::set<customer_id> customers;
        for (auto const* const list : {&question.wanted, &question.expected})
            for (auto const& [id, count] : *list)
                customers.insert(id);
        for (auto const& id : customers)
        {
            auto const* const customer = find_customer(*plan, id);
            if (customer == nullptr)
                continue;
            auto const wanted = count_of(question.wanted, id);
            auto const expected = count_of(question.expected, id);
            auto const granted =
                customer->rate == millitokens_per_second()
                    ? messages::quota_grant{.customer = id, .admitted = wanted, .ahead = expected}
                    : admit(*customer, wanted, expected);
            ctx.counters.add(admitted_counter, static_cast<std::uint64_t>(
                                                   (granted.admitted + granted.ahead).count()));
            ctx.counters.add(refused_counter,
                             static_cast<std::uint64_t>((wanted - granted.admitted).count()));
            out.grants.push_back(granted);
        }
        return out;
    }

    static requests count_of(std::map<customer_id, requests> const& counts, customer_id const& id)
    {
        auto const found = counts.find(id);
        return found == counts.end() ? requests() : found->second;
    }

    static plan_customer const* find_customer(traffic_plan const& plan, customer_id const& id)
    {
        auto const found = std::find_if(plan.customers.begin(), plan.customers.end(),
                                        [&](plan_customer const& it) { return it.id == id; });
        return found == plan.customers.end() ? nullptr : &*found;
    }

    void relay_questions(context& ctx)
    {
        if (relay_.is_empty() || ctx.now < next_relay_at_)
            return;
        auto const leader = answering_leader(ctx.now);
        auto const part = leader ? std::nullopt : own_part(ctx.now);
        auto const recipient = leader || !part ? leader : substitute(ctx);
        if (!recipient)
            return decide_alone(relay_.take_waiting(), ctx);
        auto question = join_questions(*recipient, part, ctx);
        if (leader)
            add_charge(question, *leader);
        ctx.send(*recipient, std::move(question));
    }

    /// Lends this instance's part while nobody leads, also without questions of its entries: the
    /// callers of a customer may all be at the entries of other instances.
    void renew_loan(context& ctx)
    {
        if (ctx.now < loan_due_ || authority_ == authority::own || !relay_.is_empty() ||
            acts_as_leader(ctx.now) || services_.require<leader_directory>().leader(ctx.now))
            return;
        auto const part = own_part(ctx.now);
        auto const recipient = substitute(ctx);
        if (!part || !recipient)
            return;
        change_authority(authority::substitute, ctx);
        ctx.send(*recipient, join_questions(*recipient, part, ctx));
    }

    /// Joins the questions that wait. `part` is lent with them, if there is one.
    messages::quota_question join_questions(instance_id recipient, std::optional<per_mille> part,
                                            context& ctx)
    {
        next_relay_at_ = ctx.now + config_.relay_interval;
        loan_due_ = ctx.now + loan_interval;
        last_question_ = next_message_number(last_question_, ctx.random);
        ctx.counters.add(relayed_counter);
        auto out = relay_.join(last_question_, recipient, ctx.now + config_.answer_timeout);
        out.part = part;
        return out;
    }

    kernel::service_map& services_;
    ledger_settings const& config_;
    std::optional<quota_ledger> ledger_; ///< While this instance leads.
    /// Kept when a leader answers again, so that what was admitted counts if that one soon stops.
    part_ledger parts_;
    std::optional<told_charge> charge_; ///< On its way to the leader.
    authority authority_ = authority::leader;
    std::set<customer_id> pressed_; ///< By the leader's last answer, also one of this instance.
    instant pressed_until_;         ///< When that answer is too old.
    std::optional<instance_id> answering_leader_; ///< The last one that answered.
    /// Instances that did not decide a question, and until when they are not asked.
    std::map<instance_id, instant> silent_until_;
    question_relay relay_;
    sequence_id last_question_;
    instant next_relay_at_;
    instant loan_due_; ///< When this instance's part is lent again without a question.
    instant parts_check_due_;
    bool parts_exceed_ = false; ///< As of the last check.
};

component_registrar<quota_keeper> const registered{"quota_keeper", component_order::quota};

} // namespace

} // namespace mulberryrudder::control
