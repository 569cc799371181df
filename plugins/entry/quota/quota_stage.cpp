#include "admission_questions.hpp"

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
    per_mille pooled_rate{200};
    per_mille relaxed_below{800};
    per_mille relaxed_rate{1150};
    requests ask_below{3};
    milliseconds answer_timeout{250};
    milliseconds silence_interval{1000};
};

kernel::section<quota_settings> const quota_section{
    "quota",
    {
        kernel::field("pooled", &quota_settings::pooled, {0, 10'000},
                      "Requests of a customer beyond its burst that all instances together may "
                      "let through at once; below what the operators tolerate."),
        kernel::field("pooled_rate", &quota_settings::pooled_rate, {0, 10'000},
                      "The same in thousandths of the customer's requests a second."),
        kernel::field("relaxed_below", &quota_settings::relaxed_below, {0, 1000},
                      "Thousandths of a customer's rate below which its demand in the fleet "
                      "leaves each instance more than its part."),
        kernel::field("relaxed_rate", &quota_settings::relaxed_rate, {1000, 10'000},
                      "Thousandths of its part that an instance lets through then."),
        kernel::field("ask_below", &quota_settings::ask_below, {0, 10'000},
                      "Control admits the requests of a customer if this instance alone could let "
                      "through fewer than this number of them at once."),
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

/// Part of the rates of an instance that does not know how many others there are, as all instances
/// that start at once. Fleets of up to this part's inverse keep the rates.
constexpr per_mille share_in_unknown_fleet{1};

/// Recipient of a question that waits for a control instance.
constexpr instance_id nobody{};

/// Time over which demand is averaged: long enough for a few requests of a customer
/// with a small rate, short against a change of where its callers are.
constexpr milliseconds demand_window{1000};
/// Part of the older average that stays in each window.
constexpr std::int64_t kept_of_four = 2;
/// Demand below is not reported.
constexpr millitokens_per_second least_reported{500};
/// A bucket of a lower rate starts with a part of a request that is drawn at random. Nothing is
/// known to be unspent after a start, and whole requests of hundreds of entries that start at once
/// would exceed the rate of most customers.
constexpr millitokens_per_second least_rate_of_whole_fill{2000};
/// Returns of refused callers are spread over this part of the time until a token.
constexpr milliseconds return_spread{400};

/// Why an instance decides by its own part of a rate.
enum class own_decision : std::uint8_t
{
    part_suffices,   ///< The part is large enough to be of use.
    control_unknown, ///< No control instance was found in time.
    no_answer,       ///< Control did not answer this request's question in time.
    no_leader        ///< Control answered that nobody could decide.
};

constexpr std::array<std::string_view, 4> own_decision_names{"part_suffices", "control_unknown",
                                                             "no_answer", "no_leader"};

kernel::counter_kind const asked_counter{"quota.asked",
                                         "Questions to control whether to admit requests."};
kernel::counter_kind const unanswered_counter{
    "quota.unanswered", "Questions to control that were not answered in time."};

kernel::counter_kind const admitted_alone_counter{
    "quota.admitted_alone", "Requests that were admitted by this instance's own parts of rates."};
kernel::counter_kind const admitted_by_control_counter{
    "quota.admitted_by_control", "Requests that a control instance admitted."};

/// Holds each customer to its rate. Control divides the rate by what is asked at each instance, so
/// the parts follow the callers. Where the parts of many instances are too small to be of use,
/// the leader of control admits the requests; while it does not answer, the parts apply.
///
/// Thread safety: as stage.
class quota_stage final : public stage, private demand_view
{
public:
    explicit quota_stage(stage_parts const& parts)
        : config_(parts.config.get(quota_section)), services_(parts.services)
    {
        parts.services.provide<demand_view>(*this);
    }

    step admit(request& what, context& with) override
    {
        if (what.payer == nullptr)
            return proceed{};
        auto& it = accounts_[what.payer->id];
        if (what.attempts.empty())
            ++it.asked;
        if (what.payer->rate == millitokens_per_second())
            return proceed{};
        reshape(it, *what.payer, with);
        bool const is_part_small =
            it.bucket.burst().count() < config_.ask_below.count() * request_cost.count();
        if (!is_part_small)
            return admit_by_own_part(what, own_decision::part_suffices, with);
        // Control may answer at any moment, so what the part does not cover waits for it.
        if (is_control_silent(with.now) && it.bucket.take(request_cost))
        {
            with.counters.add(admitted_alone_counter);
            return proceed{};
        }
        questions_.add(what.payer->id, what.id);
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
    }

private:
    struct account
    {
        token_bucket bucket;
        std::int64_t asked = 0; ///< Since the window began.
        millitokens_per_second average;
    };

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
        auto question = questions_.ask(control.value_or(nobody), last_question_,
                                       with.now + config_.answer_timeout);
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
        auto asked = questions_.end(sender, answer.number);
        if (!asked)
            return;
        silent_control_.reset();
        if (answer.pressed)
            use_up_parts(*answer.pressed, with);
        for (auto const& it : answer.grants)
            if (auto const found = asked->find(it.customer); found != asked->end())
            {
                apply(it, found->second, with);
                asked->erase(found);
            }
        decide_alone(*asked, own_decision::no_leader, with);
        ask(with);
    }

    /// Empties this instance's parts of customers that used up most of what they may send at once,
    /// in case that the next answers are missing. Where the rest of a part ends is drawn at random,
    /// so that the parts of all instances together go on at the customer's rate.
    void use_up_parts(std::vector<customer_id> const& pressed, context& with)
    {
        pressed_ = {pressed.begin(), pressed.end()};
        for (auto const& it : pressed_)
            if (auto const found = accounts_.find(it); found != accounts_.end())
                draw_rest(found->second, with);
    }

    /// Leaves a part of a request. Its average, a half, is what a bucket in use holds, so an entry
    /// that starts admits as much on average as one that went on.
    static void draw_rest(account& it, context& with)
    {
        std::uniform_int_distribution<std::int64_t> rest(0, request_cost.count() - 1);
        it.bucket.advance(with.now);
        it.bucket.take_up_to(it.bucket.tokens());
        it.bucket.add(millitokens(rest(with.random)));
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
        reshape(it, *what.payer, with);
        if (it.bucket.take(request_cost))
        {
            with.counters.add(admitted_alone_counter);
            return proceed{};
        }
        what.why =
            "rate=" + std::to_string(it.bucket.rate().count()) +
            " burst=" + std::to_string(it.bucket.burst().count()) + " share=" +
            std::to_string(services_.require<plan_view>().share_of(what.payer->id).count()) +
            " because=" + std::string(own_decision_names.at(static_cast<std::size_t>(cause)));
        return refuse(over_quota, time_until_token(it, with));
    }

    void reshape(account& it, plan_customer const& whose, context& with)
    {
        auto const& view = services_.require<plan_view>();
        auto const share =
            (view.knows_entries() ? view.share_of(whose.id) : share_in_unknown_fleet).count();
        // Within its rate a customer is not held to each instance's part of it.
        bool const relaxed =
            !pressed_.contains(whose.id) && view.fleet_demand(whose.id).count() * 1000 <
                                                whose.rate.count() * config_.relaxed_below.count();
        auto const stretch = relaxed ? config_.relaxed_rate : whole_share;
        auto const rate =
            millitokens_per_second(whose.rate.count() * share / 1000 * stretch.count() / 1000);
        // What the fleet may let through at once is shared half evenly, since a few
        // requests that come together say little of where the next ones come.
        auto const pool = whose.burst.count() +
                          whose.rate.count() * config_.pooled_rate.count() / 1000 +
                          config_.pooled.count() * request_cost.count();
        auto const evenly = view.knows_entries() ? whole_share.count() / view.entries() : share;
        // A bucket below one request would never let one through.
        auto const burst =
            std::max(millitokens(pool * ((share + evenly) / 2) / 1000), request_cost);
        bool const fresh = it.bucket.rate() == millitokens_per_second();
        it.bucket.reshape(with.now, rate, burst);
        if (!fresh)
            return;
        if (rate < least_rate_of_whole_fill || pressed_.contains(whose.id))
            return draw_rest(it, with);
        it.bucket.add(request_cost);
    }

    static milliseconds time_until_token(account const& it, context& with)
    {
        auto const missing = (request_cost - it.bucket.tokens()).count();
        auto const rate = std::max<std::int64_t>(it.bucket.rate().count(), 1);
        return milliseconds(missing * 1000 / rate) + spread(with);
    }

    static milliseconds spread(context& with)
    {
        std::uniform_int_distribution<std::int64_t> draw(0, return_spread.count());
        return milliseconds(draw(with.random));
    }

    std::map<customer_id, millitokens_per_second> demand(instant now) override
    {
        if (now >= window_ends_)
        {
            auto const began = window_ends_ - demand_window;
            auto const took = std::max<std::int64_t>(
                std::chrono::duration_cast<milliseconds>(now - began).count(), 1);
            for (auto& [id, it] : accounts_)
            {
                auto const fresh = std::exchange(it.asked, 0) * 1'000'000 / took;
                it.average = millitokens_per_second(
                    (it.average.count() * kept_of_four + fresh * (4 - kept_of_four)) / 4);
            }
            window_ends_ = now + demand_window;
        }
        std::map<customer_id, millitokens_per_second> out;
        for (auto const& [id, it] : accounts_)
            if (it.average >= least_reported)
                out.emplace(id, it.average);
        return out;
    }

    quota_settings const& config_;
    kernel::service_map& services_;
    std::unordered_map<customer_id, account> accounts_;
    admission_questions questions_;
    sequence_id last_question_;
    std::optional<instance_id> silent_control_; ///< It did not answer the last overdue question.
    instant silent_until_;                      ///< Until then requests use their parts first.
    std::set<customer_id> pressed_;             ///< As of the leader's last answer.
    instant window_ends_ = instant{} + demand_window;
};

stage_registrar<quota_stage> const entered{"quota", stage_order::quota};

} // namespace

} // namespace mulberryrudder::entry
