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
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

struct ledger_settings
{
    requests pooled{10};
    requests pooled_alone{20};
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
        kernel::field("relay_period", &ledger_settings::relay_interval, time_limits,
                      "Least milliseconds between two questions to the leader, each of which joins "
                      "those of all entries that report to this instance."),
        kernel::field("answer_limit", &ledger_settings::answer_timeout, time_limits,
                      "Milliseconds for which the leader's answer is awaited before this instance "
                      "decides by its own part of the rates. Entries wait longer."),
        kernel::field("retry_period", &ledger_settings::retry_interval, time_limits,
                      "Milliseconds after a missing answer in which that leader is not asked."),
    }};

kernel::counter_kind const questions_counter{"quota.questions",
                                             "Questions of entries whether to admit requests."};
kernel::counter_kind const relayed_counter{
    "quota.relayed", "Questions to the leader that join those of several entries."};
kernel::counter_kind const admitted_counter{"quota.admitted",
                                            "Requests that were admitted as the leader."};
kernel::counter_kind const refused_counter{
    "quota.refused", "Requests that were refused as the leader, over the customer's rate."};

kernel::counter_kind const alone_counter{
    "quota.decided_alone",
    "Questions of entries that were decided by this instance's own part of the rates, since no "
    "leader answered."};
kernel::event_kind const alone_event{
    {.number = 760,
     .name = "quota.leader_missing",
     .level = kernel::severity::warning,
     .meaning = "This instance admits requests by its own part of the customers' rates since no "
                "leader answers (`missing`), or asks the leader again; `part` is its part of the "
                "rate that it last admitted from, in thousandths, -1 while it does not know it and "
                "leaves the decision to the entries.",
     .action = "Find out why there is no leader: see `replica.leader_missing`, and the connections "
               "to the leader."}};

/// Time for which the leader's last answer tells which customers used up most of their bursts.
constexpr milliseconds pressed_lifetime{500};

/// Admits requests of customers with a rate: as the leader from the rate itself, else by asking
/// the leader. While no leader answers, each instance admits from its part of the rates; entries
/// hold such small parts that they would refuse most requests of a customer below its rate.
///
/// Thread safety: the decision core's thread.
class quota_keeper final : public component
{
public:
    explicit quota_keeper(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(ledger_section))
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
        spent_.clear();
        end_alone(ctx);
    }

    void following(context&) override { ledger_.reset(); }

    void tick(context& ctx) override
    {
        if (auto const overdue = relay_.take_overdue(ctx.now); !overdue.empty())
        {
            take_back_charge();
            silent_leader_ = asked_leader_;
            ask_again_at_ = ctx.now + config_.retry_interval;
            decide_alone(overdue, ctx);
        }
        relay_questions(ctx);
    }

private:
    /// What a question to the leader tells it of requests that were admitted here.
    struct told_charge
    {
        sequence_id question;
        std::map<customer_id, requests> spent;
    };

    void handle_question(instance_id sender, messages::quota_question const& question, context& ctx)
    {
        if (acts_as_leader(ctx.now))
            return ctx.send(sender, decide_as_leader(question, ctx));
        // The sender took this instance for the leader.
        if (question.relayed)
            return ctx.send(sender, messages::quota_answer{.number = question.number,
                                                           .grants = {},
                                                           .pressed = std::nullopt});
        ctx.counters.add(questions_counter);
        relay_.add(sender, question);
        relay_questions(ctx);
    }

    void handle_answer(instance_id sender, messages::quota_answer const& answer, context& ctx)
    {
        if (!answer.pressed)
        {
            take_back_charge();
            return decide_alone(relay_.take_joined(answer.number), ctx);
        }
        auto const replies = relay_.divide(answer);
        if (replies.empty())
            return;
        if (charge_ && charge_->question == answer.number)
            charge_.reset();
        pressed_ = {answer.pressed->begin(), answer.pressed->end()};
        pressed_until_ = ctx.now + pressed_lifetime;
        answering_leader_ = sender;
        silent_leader_.reset();
        end_alone(ctx);
        for (auto const& it : replies)
            ctx.send(it.entry, it.answer);
    }

    bool acts_as_leader(instant now) const
    {
        return ledger_ && services_.require<replicated_log>().may_act(now);
    }

    messages::quota_answer decide_as_leader(messages::quota_question const& question, context& ctx)
    {
        charge(question.spent, ctx);
        auto out = decide(
            question, *ledger_, [](customer_id const&) { return std::optional(whole_share); }, ctx);
        out.pressed = ledger_->pressed_customers(ctx.now);
        return out;
    }

    /// Decides questions by this instance's part of the rates. Where it does not know its part, the
    /// answers are without grants, and the entries decide.
    void decide_alone(std::vector<question_relay::entry_question> const& questions, context& ctx)
    {
        if (questions.empty())
            return;
        begin_alone(ctx);
        ctx.counters.add(alone_counter, questions.size());
        auto const& division = services_.require<rate_division>();
        auto const part_of = [&](customer_id const& customer)
        {
            auto const part = division.part_of(customer, ctx.now);
            last_part_ = part;
            return part == per_mille() ? std::nullopt : part;
        };
        for (auto const& it : questions)
        {
            auto decided = decide(it.question, *part_ledger_, part_of, ctx);
            for (auto const& granted : decided.grants)
                if (granted.admitted != requests())
                    spent_[granted.customer] += granted.admitted;
            ctx.send(it.entry, std::move(decided));
        }
    }

    /// Lets what other instances admitted from their parts of the rates count as admitted here.
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

    /// Adds what one question at a time tells the leader. Another leader than the last one that
    /// answered began with nearly empty buckets, so it is not charged.
    void add_charge(messages::quota_question& question)
    {
        if (asked_leader_ != answering_leader_)
            spent_.clear();
        if (charge_ || spent_.empty())
            return;
        question.spent = std::exchange(spent_, {});
        charge_ = {.question = question.number, .spent = question.spent};
    }

    /// The leader may not have been told; it is told again.
    void take_back_charge()
    {
        if (!charge_)
            return;
        for (auto const& [customer, count] : charge_->spent)
            spent_[customer] += count;
        charge_.reset();
    }

    void begin_alone(context& ctx)
    {
        if (std::exchange(is_alone_, true))
            return;
        if (!part_ledger_)
            part_ledger_.emplace(config_.pooled_alone, ctx.now);
        part_ledger_->reopen(std::make_unique<balance_beside_a_leader>(
                                 ctx.now < pressed_until_ ? std::optional(pressed_) : std::nullopt),
                             ctx.now);
        record_alone(ctx);
    }

    void end_alone(context& ctx)
    {
        if (std::exchange(is_alone_, false))
            record_alone(ctx);
    }

    void record_alone(context& ctx) const
    {
        ctx.events.record(alone_event,
                          {{"missing", is_alone_ ? "true" : "false"},
                           {"part", std::to_string(last_part_ ? last_part_->count() : -1)}});
    }

    /// Admits requests from the parts of the rates that `part_of` returns; leaves out customers of
    /// which it returns nothing.
    template <class PartOf>
    messages::quota_answer decide(messages::quota_question const& question, quota_ledger& ledger,
                                  PartOf const& part_of, context& ctx) const
    {
        messages::quota_answer out{
            .number = question.number, .grants = {}, .pressed = std::nullopt};
        auto const plan = services_.require<steering_view>().steering()->plan;
        if (!plan)
            return out;
        for (auto const& [id, wanted] : question.wanted)
        {
            auto const* const customer = find_customer(*plan, id);
            auto const part = customer == nullptr ? std::nullopt : part_of(id);
            if (part)
                out.grants.push_back(grant(*customer, wanted, *part, ledger, ctx));
        }
        return out;
    }

    static plan_customer const* find_customer(traffic_plan const& plan, customer_id const& id)
    {
        auto const found = std::find_if(plan.customers.begin(), plan.customers.end(),
                                        [&](plan_customer const& it) { return it.id == id; });
        return found == plan.customers.end() ? nullptr : &*found;
    }

    static messages::quota_grant grant(plan_customer const& customer, requests wanted,
                                       per_mille part, quota_ledger& ledger, context& ctx)
    {
        messages::quota_grant out{.customer = customer.id, .admitted = wanted};
        if (customer.rate != millitokens_per_second())
        {
            out.admitted = ledger.admit(customer, wanted, ctx.now, part);
            out.retry_after = ledger.time_until_next(customer.id);
        }
        ctx.counters.add(admitted_counter, static_cast<std::uint64_t>(out.admitted.count()));
        ctx.counters.add(refused_counter,
                         static_cast<std::uint64_t>((wanted - out.admitted).count()));
        return out;
    }

    void relay_questions(context& ctx)
    {
        if (relay_.is_empty() || ctx.now < next_relay_at_)
            return;
        auto const leader = services_.require<leader_directory>().leader(ctx.now);
        if (!leader || (leader == silent_leader_ && ctx.now < ask_again_at_))
            return decide_alone(relay_.take_waiting(), ctx);
        asked_leader_ = leader;
        next_relay_at_ = ctx.now + config_.relay_interval;
        last_question_ = next_message_number(last_question_, ctx.random);
        ctx.counters.add(relayed_counter);
        auto question = relay_.join(last_question_, ctx.now + config_.answer_timeout);
        add_charge(question);
        ctx.send(*leader, std::move(question));
    }

    kernel::service_map& services_;
    ledger_settings const& config_;
    std::optional<quota_ledger> ledger_; ///< While this instance leads.
    /// Of this instance's part of the rates. Kept when a leader answers again, so that what was
    /// admitted counts if that one soon stops.
    std::optional<quota_ledger> part_ledger_;
    std::map<customer_id, requests> spent_; ///< Admitted from it, and no leader was told.
    std::optional<told_charge> charge_;     ///< On its way to the leader.
    bool is_alone_ = false;                 ///< No leader answered the last questions.
    std::optional<per_mille> last_part_;
    std::set<customer_id> pressed_; ///< By the leader's last answer.
    instant pressed_until_;         ///< When that answer is too old.
    std::optional<instance_id> asked_leader_;
    std::optional<instance_id> answering_leader_; ///< The last one that answered.
    std::optional<instance_id> silent_leader_;    ///< It did not answer the last question in time.
    instant ask_again_at_;                        ///< Until then that leader is not asked.
    question_relay relay_;
    sequence_id last_question_;
    instant next_relay_at_;
};

component_registrar<quota_keeper> const registered{"quota_keeper", component_order::quota};

} // namespace

} // namespace mulberryrudder::control
