#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control/pending_requests.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

struct steering_settings
{
    milliseconds answer_timeout{900};
};

kernel::section<steering_settings> const steering_section{
    "steering",
    {
        kernel::field("answer_timeout", &steering_settings::answer_timeout, {100, 60'000},
                      "Milliseconds to wait for an order's commit, and then for most control "
                      "instances to hold it, before the answer is that the outcome is unknown; "
                      "below the time for which operators wait."),
    }};

/// Accepted plans whose digest is kept to recognise a resent plan: more than operators send
/// in a day.
constexpr std::size_t max_accepted_plans = 4096;
/// Share of the requests that the new version gets at the start of a rollout.
constexpr per_mille initial_share{50};

kernel::counter_kind const orders_counter{"steering.orders",
                                          "Orders of operators that this instance received."};
kernel::counter_kind const redirected_counter{
    "steering.sent_elsewhere",
    "Requests of operators that were redirected, since only the leader decides them."};

kernel::event_kind const order_event{
    {.number = 750,
     .name = "steering.order_answered",
     .level = kernel::severity::info,
     .meaning =
         "An order of an operator was decided; the field `result` is the decision, `holders` "
         "how many control instances held an accepted one at its acknowledgement, `of` how "
         "many there are; 0 where that does not matter.",
     .action = "If it was refused, correct the order at the places that its answer lists."}};
kernel::event_kind const changed_event{{.number = 751,
                                        .name = "steering.changed",
                                        .level = kernel::severity::info,
                                        .meaning = "This instance applied a new steering state.",
                                        .action = "None."}};

/// Identifies an order that waits for its commit.
struct order_identity
{
    std::string name; ///< Equal for resent orders.
};

/// An accepted order that a majority of the control instances does not hold yet.
struct accepted_order
{
    operator_request_id requester;
    std::string name;
    steering_answer decision;
    generation_id generation; ///< Of the steering state that contains the order.
    instant deadline;         ///< After it, the answer is outcome_unknown.
};

/// Keeps the plan, the evacuations and the versions of the services in the replicated log,
/// and decides on operators' orders that change them.
///
/// Thread safety: the decision core's thread.
class steering_orders final : public component, public steering_view
{
public:
    explicit steering_orders(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(steering_section))
    {
        parts.services.provide<steering_view>(*this);
    }

    shared_steering steering() const override
    {
        return received_->generation > applied_->generation ? received_ : applied_;
    }

    void learn(shared_steering const& state) override
    {
        if (state->generation > received_->generation)
            received_ = state;
    }

    bool asked(operator_asked const& request, context& ctx) override
    {
        static std::array const table{
            on<&steering_orders::submit_plan>(), on<&steering_orders::report_plan>(),
            on<&steering_orders::evacuate>(), on<&steering_orders::order_rollout>(),
            on<&steering_orders::report_rollout>()};
        return dispatch(*this, table, request.id, request.body, ctx);
    }

    void applied(log_entry const& entry, context& ctx) override
    {
        static std::array const table{
            on<&steering_orders::apply_plan>(), on<&steering_orders::apply_evacuation>(),
            on<&steering_orders::apply_start>(), on<&steering_orders::apply_step>(),
            on<&steering_orders::apply_base>()};
        last_index_ = entry.index;
        last_decision_ = {.result = order_result::refused, .failed = {}, .newest = newest()};
        dispatch(*this, table, entry.index, entry.command, ctx);
        pending_.settle(
            entry,
            [&](operator_request_id requester, order_identity const& order)
            { complete(requester, order.name, last_decision_, ctx); },
            ctx);
    }

    any_message save() const override
    {
        return any_message::of(steering_snapshot{.state = *applied_, .accepted = accepted_});
    }

    void load(std::vector<any_message> const& parts, context& ctx) override
    {
        for (auto const& it : parts)
            if (auto const* const snapshot = it.get<steering_snapshot>())
            {
                applied_ = std::make_shared<steering_state const>(snapshot->state);
                accepted_ = snapshot->accepted;
            }
        pending_.abandon(ctx);
    }

    void following(context& ctx) override { pending_.abandon(ctx); }

    void tick(context& ctx) override
    {
        pending_.expire(ctx);
        answer_replicated(ctx);
    }

private:
    replicated_log& log() { return services_.require<replicated_log>(); }

    plan_number newest() const { return applied_->plan ? applied_->plan->number : plan_number(); }

    bool was_accepted(plan_number number, digest const& content) const
    {
        auto const accepted = accepted_.find(number);
        return accepted != accepted_.end() && accepted->second == content;
    }

    void submit_plan(operator_request_id requester, plan_submission const& submission, context& ctx)
    {
        ctx.counters.add(orders_counter);
        auto const content = submission.plan ? sha256(submission.plan->source) : digest();
        auto const name =
            "plan " + std::to_string(submission.plan ? submission.plan->number.value() : 0);
        if (submission.plan && was_accepted(submission.plan->number, content))
            return complete(requester, name, {order_result::accepted, {}, newest()}, ctx);
        if (!log().may_act(ctx.now))
            return redirect_to_leader(requester, ctx);
        auto failed = submission.failed;
        if (submission.plan)
            for (auto& failure : check_plan(*submission.plan))
                failed.push_back(std::move(failure));
        if (!failed.empty())
            return answer(requester, name, {order_result::refused, std::move(failed), newest()},
                          ctx);
        if (submission.base != newest() || submission.plan->number <= newest())
            return answer(requester, name, {order_result::conflict, {}, newest()}, ctx);
        propose(requester, name + " " + to_hex(content),
                replace_plan{submission.base, submission.plan, content}, ctx);
    }

    void report_plan(operator_request_id requester, plan_question const&, context& ctx)
    {
        if (!log().may_act(ctx.now))
            return redirect_to_leader(requester, ctx);
        ctx.answer(requester, plan_told{applied_->plan});
    }

    void evacuate(operator_request_id requester, evacuation_order const& order, context& ctx)
    {
        ctx.counters.add(orders_counter);
        if (!log().may_act(ctx.now))
            return redirect_to_leader(requester, ctx);
        auto const name =
            (order.evacuated ? "evacuation " : "evacuation_end ") + order.domain.value();
        if (pending_.empty() && applied_->evacuated.contains(order.domain) == order.evacuated)
            return complete(requester, name, {order_result::accepted, {}, newest()}, ctx);
        propose(requester, name, set_evacuation{order.domain, order.evacuated}, ctx);
    }

    void order_rollout(operator_request_id requester, rollout_order const& order, context& ctx)
    {
        ctx.counters.add(orders_counter);
        if (!log().may_act(ctx.now))
            return redirect_to_leader(requester, ctx);
        auto const name = "rollout " + order.service.value() + " " + order.version.value();
        auto const known = applied_->versions.find(order.service);
        if (known != applied_->versions.end() && known->second.next == order.version)
            return complete(requester, name, {order_result::accepted, {}, newest()}, ctx);
        propose(requester, name, start_rollout{order.service, order.version, order.duration}, ctx);
    }

    void report_rollout(operator_request_id requester, rollout_question const& question,
                        context& ctx)
    {
        if (!log().may_act(ctx.now))
            return redirect_to_leader(requester, ctx);
        auto const known = applied_->versions.find(question.service);
        ctx.answer(requester, rollout_told{known == applied_->versions.end() ? service_versions()
                                                                             : known->second});
    }

    template <class Command>
    void propose(operator_request_id requester, std::string const& name, Command command,
                 context& ctx)
    {
        auto* const pending = pending_.find([&](auto const& it) { return it.about.name == name; });
        if (pending != nullptr)
            return pending->askers.push_back(requester);
        auto const term = log().term();
        auto const index = log().propose(any_message::of(std::move(command)));
        if (!index)
            return redirect_to_leader(requester, ctx);
        // With a single voter, the entry may be committed before propose() returns.
        if (last_index_ == *index)
            return complete(requester, name, last_decision_, ctx);
        pending_.add({*index, term, ctx.now + config_.answer_timeout, {name}, {requester}});
    }

    void redirect_to_leader(operator_request_id requester, context& ctx)
    {
        ctx.counters.add(redirected_counter);
        auto* const leaders = services_.find<leader_directory>();
        ctx.answer(requester, ask_elsewhere{leaders == nullptr ? std::nullopt
                                                               : leaders->leader_address(ctx.now)});
    }

    /// Answers a decided order. The answer to an accepted order waits until a majority of the
    /// control instances holds it: entries rely only on instances that reach a majority, and
    /// every majority then includes an instance that holds the order.
    void complete(operator_request_id requester, std::string const& name,
                  steering_answer const& decision, context& ctx)
    {
        if (decision.result != order_result::accepted)
            return answer(requester, name, decision, ctx);
        unreplicated_.push_back(
            {requester, name, decision, applied_->generation, ctx.now + config_.answer_timeout});
        answer_replicated(ctx);
    }

    void answer_replicated(context& ctx)
    {
        auto const* const replication = services_.find<spread_view>();
        std::erase_if(unreplicated_,
                      [&](accepted_order const& it)
                      {
                          auto const spread =
                              replication == nullptr
                                  ? std::nullopt
                                  : std::optional(replication->spread_of(it.generation));
                          if (!spread || spread->is_majority())
                              answer(it.requester, it.name, it.decision, ctx, spread);
                          else if (it.deadline <= ctx.now)
                              ctx.answer(it.requester, outcome_unknown{});
                          else
                              return false;
                          return true;
                      });
    }

    static void answer(operator_request_id requester, std::string const& name,
                       steering_answer const& decision, context& ctx,
                       std::optional<state_spread> const& spread = std::nullopt)
    {
        static constexpr std::array names{"accepted", "conflict", "refused"};
        ctx.events.record(order_event,
                          {{"order", name},
                           {"result", names.at(static_cast<std::size_t>(decision.result))},
                           {"newest", std::to_string(decision.newest.value())},
                           {"errors", std::to_string(decision.failed.size())},
                           {"holders", std::to_string(spread ? spread->holders : 0)},
                           {"of", std::to_string(spread ? spread->total.value_or(0) : 0)}});
        ctx.answer(requester, decision);
    }

    void apply_plan(log_index, replace_plan const& command, context& ctx)
    {
        if (was_accepted(command.plan->number, command.content))
            return set_accepted();
        if (command.base != newest() || command.plan->number <= newest())
        {
            last_decision_.result = order_result::conflict;
            return;
        }
        update_state(ctx, [&](steering_state& state) { state.plan = command.plan; });
        accepted_.emplace(command.plan->number, command.content);
        if (accepted_.size() > max_accepted_plans)
            accepted_.erase(accepted_.begin());
    }

    void apply_evacuation(log_index, set_evacuation const& command, context& ctx)
    {
        if (applied_->evacuated.contains(command.domain) == command.evacuated)
            return set_accepted();
        update_state(ctx,
                     [&](steering_state& state)
                     {
                         if (command.evacuated)
                             state.evacuated.insert(command.domain);
                         else
                             state.evacuated.erase(command.domain);
                     });
    }

    void apply_start(log_index, start_rollout const& command, context& ctx)
    {
        auto const known = applied_->versions.find(command.service);
        if (known != applied_->versions.end() && known->second.next == command.version &&
            known->second.phase == rollout_phase::running)
            return set_accepted();
        update_state(ctx,
                     [&](steering_state& state)
                     {
                         auto& versions = state.versions[command.service];
                         bool const is_base = versions.base == command.version;
                         versions.next = command.version;
                         versions.share = is_base ? whole_share : initial_share;
                         versions.phase =
                             is_base ? rollout_phase::succeeded : rollout_phase::running;
                         versions.duration = command.duration;
                     });
    }

    void apply_step(log_index, step_rollout const& command, context& ctx)
    {
        auto const known = applied_->versions.find(command.service);
        if (known == applied_->versions.end() || known->second.next != command.version ||
            known->second.phase != rollout_phase::running)
            return;
        update_state(ctx,
                     [&](steering_state& state)
                     {
                         auto& versions = state.versions[command.service];
                         versions.share = command.share;
                         versions.phase = command.phase;
                         if (command.phase == rollout_phase::succeeded)
                             versions.base = command.version;
                     });
    }

    void apply_base(log_index, note_base_version const& command, context& ctx)
    {
        auto const known = applied_->versions.find(command.service);
        if (known != applied_->versions.end() && !known->second.base.value().empty())
            return set_accepted();
        update_state(ctx, [&](steering_state& state)
                     { state.versions[command.service].base = command.version; });
    }

    template <class Change>
    void update_state(context& ctx, Change const& change)
    {
        auto next = *applied_;
        next.generation = generation_id(next.generation.value() + 1);
        change(next);
        applied_ = std::make_shared<steering_state const>(std::move(next));
        ctx.events.record(changed_event,
                          {{"generation", std::to_string(applied_->generation.value())},
                           {"plan", std::to_string(newest().value())}});
        set_accepted();
    }

    void set_accepted()
    {
        last_decision_.result = order_result::accepted;
        last_decision_.newest = newest();
    }

    kernel::service_map& services_;
    steering_settings const& config_;
    shared_steering applied_ = std::make_shared<steering_state const>();
    /// Newest state from other instances, for an instance that does not replicate the log.
    shared_steering received_ = std::make_shared<steering_state const>();
    std::map<plan_number, digest> accepted_;
    log_index last_index_;
    steering_answer last_decision_; ///< Result of the entry at last_index_.
    pending_requests<order_identity> pending_;
    std::vector<accepted_order> unreplicated_;
};

component_registrar<steering_orders> const registrar{"steering", component_order::steering};

} // namespace

} // namespace mulberryrudder::control
