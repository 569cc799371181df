#include "admission_questions.hpp"
#include "demand_average.hpp"

#include <mulberryrudder/core/expiring_requests.hpp>
#include <mulberryrudder/core/message_number.hpp>
#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <array>
#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>

namespace mulberryrudder::entry
{

namespace
{

struct quota_settings
{
    requests pooled{10};
    milliseconds ahead_horizon{500};
    milliseconds answer_timeout{250};
    milliseconds silence_interval{1000};
};

kernel::section<quota_settings> const quota_section{
    "quota",
    {
        kernel::field("pooled", &quota_settings::pooled, {0, 10'000},
                      "Requests of a customer beyond its burst that all instances together may "
                      "let through at once while each decides by its own part of the rate; below "
                      "what the operators tolerate."),
        kernel::field("ahead_horizon", &quota_settings::ahead_horizon, {0, 10'000},
                      "Milliseconds whose requests of a customer control is asked to admit before "
                      "they arrive; several round trips to the leader of control."),
        kernel::field("answer_limit", &quota_settings::answer_timeout, {1, 10'000},
                      "Milliseconds after which control is asked again about requests that it did "
                      "not admit or refuse, once; after as many more, they are decided by this "
                      "instance's own part of the rate."),
        kernel::field("retry_period", &quota_settings::silence_interval, {1, 600'000},
                      "Milliseconds after such a missing answer in which control is asked only "
                      "about requests that this instance's own part does not cover."),
    }};

refusal_kind const over_quota({.name = "over_quota",
                               .counter_name = "refused.over_quota",
                               .status = 429,
                               .meaning = "The customer asks for more than its rate allows."});

/// Number of instances that one assumes which does not know how many others there are, as all
/// instances that start at once. Fleets of up to this number keep the rates.
constexpr std::int64_t entries_in_unknown_fleet = 1000;

/// Time after an admission from its parts for which an instance tells of it. A leader does not
/// count what was admitted before it began, and ignores what it is told in as long a time.
constexpr milliseconds part_use_lifetime{1000};

/// Recipient of a question that waits for a control instance.
constexpr instance_id nobody{};

/// Time over which demand is averaged: long enough for a few requests of a customer
/// with a small rate, short against a change of where its callers are.
constexpr milliseconds demand_window{1000};
/// Returns of refused callers are spread over this part of the time until a token.
constexpr milliseconds return_spread{400};

/// Why an instance decides by its own part of a rate.
enum class own_decision : std::uint8_t
{
    control_unknown, ///< No control instance was found in time.
    no_answer,       ///< Control did not answer this request's question in time.
    no_leader        ///< Control answered that nobody could decide.
};

constexpr std::array<std::string_view, 3> own_decision_names{"control_unknown", "no_answer",
                                                             "no_leader"};

kernel::counter_kind const asked_counter{"quota.asked",
                                         "Questions to control whether to admit requests."};
kernel::counter_kind const unanswered_counter{
    "quota.unanswered", "Questions to control that were not answered in time."};

kernel::counter_kind const admitted_alone_counter{
    "quota.admitted_alone", "Requests that were admitted by this instance's own parts of rates."};
kernel::counter_kind const admitted_by_control_counter{
    "quota.admitted_by_control", "Requests that a control instance admitted."};

/// Holds each customer to its rate. The leader of control holds the whole of each rate and admits
/// the requests; where a customer is far from its rate, it admits those that are expected soon
/// ahead, so that few of them wait for an answer. While nobody answers, each instance admits from
/// an even part of the rate and tells control afterwards. So what is admitted anywhere comes from
/// one account, whichever way the callers choose among the entries.
///
/// Thread safety: as stage.
class quota_stage final : public stage, private quota_view
{
public:
    explicit quota_stage(stage_parts const& parts)
        : config_(parts.config.get(quota_section)), services_(parts.services)
    {
        parts.services.provide<quota_view>(*this);
    }

    step admit(request& what, context& with) override
    {
        if (what.payer == nullptr || what.payer->rate == millitokens_per_second())
            return proceed{};
        auto const& customer = *what.payer;
        auto& it = accounts_[customer.id];
        if (what.attempts.empty())
            it.demand.add();
        if (it.ahead.take_up_to(requests(1), with.now) != requests())
        {
            with.counters.add(admitted_by_control_counter);
            questions_.add_used_ahead(customer.id);
            if (it.ahead.left(with.now).count() * 2 < expected(it).count())
            {
                questions_.expect(customer.id);
                ask(with);
            }
            return proceed{};
        }
        // Control may answer at any moment, so what the part does not cover waits for it.
        if (is_control_silent(with.now) && admit_alone(it, customer, with))
            return proceed{};
        questions_.add(customer.id, what.id);
        ask(with);
        return wait{};
    }

    void received(envelope const& message, context& with) override
    {
        static std::array const table{on_message<&quota_stage::handle_answer>()};
        dispatch(*this, table, message, with);
    }

    void tick(context& with) override
    {
        auto const recipient = questions_.recipient();
        if (recipient == nobody && services_.require<plan_view>().control())
        {
            questions_.repeat();
            ask(with);
        }
        end_overdue_question(with);
        average_demand(with.now);
    }

private:
    struct account
    {
        expiring_requests ahead; ///< Admitted by control.
        token_bucket part;       ///< This instance's part of the rate.
        bool uses_part = false;  ///< Since control's last decision.
        demand_average demand;
    };

    /// Returns the requests of a customer that are to be admitted ahead: those that come in the
    /// horizon, and one in any case if it will probably come before it expires.
    requests expected(account const& it) const
    {
        auto const soon = it.demand.expected_in(config_.ahead_horizon);
        bool const comes = it.demand.expected_in(ahead_lifetime_) > requests();
        return soon + requests(comes ? 1 : 0);
    }

    /// Returns whether there is no control instance, or it did not answer a question a moment ago.
    bool is_control_silent(instant now)
    {
        auto const control = services_.require<plan_view>().control();
        return !control || (control == silent_control_ && now < silent_until_);
    }

    /// Asks control to admit the requests that wait, unless a question is on its way. Without a
    /// control instance, the question waits for one until its deadline.
    void ask(context& with)
    {
        if (!questions_.can_ask())
            return;
        auto const control = services_.require<plan_view>().control();
        last_question_ = next_message_number(last_question_, with.random);
        std::map<customer_id, requests> missing;
        for (auto const& customer : questions_.customers())
        {
            auto& it = accounts_[customer];
            if (auto const n = expected(it) - it.ahead.left(with.now); n > requests())
                missing.emplace(customer, n);
        }
        auto question = questions_.ask(control.value_or(nobody), last_question_, with.now,
                                       with.now + config_.answer_timeout, std::move(missing));
        if (!control)
            return;
        with.counters.add(asked_counter);
        with.send(*control, std::move(question));
    }

    void handle_answer(instance_id sender, messages::quota_answer const& answer, context& with)
    {
        // After a pause of this process, the answer may have waited for it.
        if (end_overdue_question(with))
            return;
        auto asked = questions_.end(sender, answer.number, with.now);
        if (!asked)
            return;
        silent_control_.reset();
        if (answer.pressed)
            ahead_lifetime_ = answer.ahead_lifetime;
        auto const ahead_deadline = asked->sent + answer.ahead_lifetime;
        for (auto const& it : answer.grants)
        {
            auto& known = accounts_[it.customer];
            known.uses_part = false;
            known.ahead.add(it.ahead, ahead_deadline);
            if (auto const found = asked->requests.find(it.customer);
                found != asked->requests.end())
            {
                apply(it, found->second, with);
                asked->requests.erase(found);
            }
        }
        decide_alone(asked->requests, own_decision::no_leader, with);
        ask(with);
    }

    /// Admits the first requests of a customer and refuses the rest.
    void apply(messages::quota_grant const& grant, std::vector<request_id> const& ids,
               context& with)
    {
        auto left = grant.admitted;
        for (auto const id : ids)
        {
            auto* const what = with.flow.find(id);
            if (what == nullptr)
                continue;
            if (left > requests())
            {
                left -= requests(1);
                with.counters.add(admitted_by_control_counter);
                with.flow.resume(id);
                continue;
            }
            what->why = "refused by control";
            with.flow.finish(id, refused{.why = &over_quota,
                                         .run = verdict::not_run,
                                         .retry_after = grant.retry_after + spread(with)});
        }
    }

    /// Returns whether a question was overdue. It is repeated once, at the control instance that
    /// answers reports by then. After that its requests, and those that waited for their turn, are
    /// decided by this instance's own part of the rates.
    bool end_overdue_question(context& with)
    {
        if (!questions_.is_overdue(with.now))
            return false;
        if (questions_.recipient() == nobody)
        {
            decide_alone(questions_.give_up(), own_decision::control_unknown, with);
            return true;
        }
        with.counters.add(unanswered_counter);
        silent_control_ = questions_.recipient();
        silent_until_ = with.now + config_.silence_interval;
        if (questions_.is_repeated())
            decide_alone(questions_.give_up(), own_decision::no_answer, with);
        else
        {
            questions_.repeat();
            ask(with);
        }
        return true;
    }

    void decide_alone(admission_questions::request_lists const& lists, own_decision cause,
                      context& with)
    {
        for (auto const& [customer, ids] : lists)
            for (auto const id : ids)
            {
                auto* const what = with.flow.find(id);
                if (what == nullptr)
                    continue;
                auto const decided = admit_by_own_part(*what, cause, with);
                if (auto const* const refusal = std::get_if<stop>(&decided))
                    with.flow.finish(id, refusal->what);
                else
                    with.flow.resume(id);
            }
    }

    step admit_by_own_part(request& what, own_decision cause, context& with)
    {
        auto& it = accounts_[what.payer->id];
        if (admit_alone(it, *what.payer, with))
            return proceed{};
        what.why = "rate=" + std::to_string(it.part.rate().count()) +
                   " burst=" + std::to_string(it.part.burst().count()) +
                   " entries=" + std::to_string(divisor()) + " because=" +
                   std::string(own_decision_names.at(static_cast<std::size_t>(cause)));
        return refuse(over_quota, time_until_token(it, with));
    }

    /// Admits a request from this instance's part of a rate, or returns false.
    bool admit_alone(account& it, plan_customer const& customer, context& with)
    {
        reshape(it.part, customer, with.now);
        if (!std::exchange(it.uses_part, true))
            begin_part(it.part, with);
        if (!it.part.take(request_cost))
            return false;
        with.counters.add(admitted_alone_counter);
        uses_parts_until_ = with.now + part_use_lifetime;
        questions_.add_spent(customer.id, uses_parts_until_);
        return true;
    }

    /// Empties a part but for a random part of a request, since control may have admitted all that
    /// the rate allows until now. Its average, a half, is what a bucket in use holds, so parts that
    /// begin again and again admit no more than those that went on.
    static void begin_part(token_bucket& part, context& with)
    {
        std::uniform_int_distribution<std::int64_t> rest(0, request_cost.count() - 1);
        part.take_up_to(part.tokens());
        part.add(millitokens(rest(with.random)));
    }

    per_mille part_in_use(instant now) const override
    {
        return now < uses_parts_until_ ? per_mille(whole_share.count() / divisor()) : per_mille();
    }

    /// Returns into how many parts this instance divides each rate.
    std::int64_t divisor() const
    {
        auto const& view = services_.require<plan_view>();
        return view.knows_entries() ? view.entries() : entries_in_unknown_fleet;
    }

    void reshape(token_bucket& part, plan_customer const& customer, instant now) const
    {
        auto const burst = customer.burst.count() + config_.pooled.count() * request_cost.count();
        // A bucket below one request would never let one through.
        part.reshape(now, millitokens_per_second(customer.rate.count() / divisor()),
                     std::max(millitokens(burst / divisor()), request_cost));
    }

    static milliseconds time_until_token(account const& it, context& with)
    {
        auto const missing = (request_cost - it.part.tokens()).count();
        auto const rate = std::max<std::int64_t>(it.part.rate().count(), 1);
        return milliseconds(missing * 1000 / rate) + spread(with);
    }

    static milliseconds spread(context& with)
    {
        std::uniform_int_distribution<std::int64_t> draw(0, return_spread.count());
        return milliseconds(draw(with.random));
    }

    void average_demand(instant now)
    {
        if (now < window_ends_)
            return;
        auto const length = now - (window_ends_ - demand_window);
        for (auto& [id, it] : accounts_)
            it.demand.end_window(length);
        window_ends_ = now + demand_window;
    }

    quota_settings const& config_;
    kernel::service_map& services_;
    std::unordered_map<customer_id, account> accounts_;
    admission_questions questions_;
    sequence_id last_question_;
    std::optional<instance_id> silent_control_; ///< It did not answer the last overdue question.
    instant silent_until_;                      ///< Until then requests use their parts first.
    milliseconds ahead_lifetime_{0};            ///< By the leader's last answer.
    instant uses_parts_until_;                  ///< What was admitted from them is recent.
    instant window_ends_ = instant{} + demand_window;
};

stage_registrar<quota_stage> const entered{"quota", stage_order::quota};

} // namespace

} // namespace mulberryrudder::entry
