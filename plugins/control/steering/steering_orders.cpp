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
                      "instances to hold it, before its operator is told to ask again; below the "
                      "time for which operators wait."),
    }};

/// Accepted plans whose content is remembered, so that a resent one is recognised:
/// more than operators send in a day.
constexpr std::size_t most_accepted = 4096;
/// Share of the requests that a rollout's version gets first.
constexpr per_mille first_share{50};

kernel::counter_kind const orders_counter{"steering.orders", "Orders of operators that arrived."};
kernel::counter_kind const elsewhere_counter{
    "steering.sent_elsewhere", "Requests of operators that another instance has to decide."};

kernel::event_kind const order_event{
    {.number = 750,
     .name = "steering.order_answered",
     .level = kernel::severity::info,
     .meaning = "An order of an operator was decided; the field `result` tells how.",
     .action = "If it was refused, mend the order at the places that its answer names."}};
kernel::event_kind const changed_event{{.number = 751,
                                        .name = "steering.changed",
                                        .level = kernel::severity::info,
                                        .meaning = "A new steering state holds at this instance.",
                                        .action = "None."}};

/// Identifies an order that waits for its commit.
struct order_identity
{
    std::string what;
};

/// An accepted order that is not held by most control instances yet.
struct accepted_order
{
    operator_request_id asker;
    std::string name;
    steering_answer what;
    generation_id generation;
    instant deadline; ///< When the operator is told that the outcome is unknown.
};

/// Keeps the plan, the evacuations and the versions of the services in the replicated
/// log, and decides operators' orders about them.
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
        return told_->generation > applied_->generation ? told_ : applied_;
    }

    void learn(shared_steering const& it) override
    {
        if (it->generation > told_->generation)
            told_ = it;
    }

    bool asked(operator_asked const& it, context& with) override
    {
        static std::array const table{
            on<&steering_orders::submit_plan>(), on<&steering_orders::tell_plan>(),
            on<&steering_orders::evacuate>(), on<&steering_orders::order_rollout>(),
            on<&steering_orders::tell_rollout>()};
        return dispatch(*this, table, it.id, it.body, with);
    }

    void applied(log_entry const& it, context& with) override
    {
        static std::array const table{
            on<&steering_orders::apply_plan>(), on<&steering_orders::apply_evacuation>(),
            on<&steering_orders::apply_start>(), on<&steering_orders::apply_step>(),
            on<&steering_orders::apply_base>()};
        last_index_ = it.index;
        last_ = {.result = order_result::refused, .failed = {}, .newest = newest()};
        dispatch(*this, table, it.index, it.command, with);
        pending_.settle(
            it,
            [&](operator_request_id asker, order_identity const& about)
            { conclude(asker, about.what, last_, with); },
            with);
    }

    any_message save() const override
    {
        return any_message::of(steering_snapshot{.state = *applied_, .accepted = accepted_});
    }

    void load(std::vector<any_message> const& parts, context& with) override
    {
        for (auto const& it : parts)
            if (auto const* const mine = it.get<steering_snapshot>())
            {
                applied_ = std::make_shared<steering_state const>(mine->state);
                accepted_ = mine->accepted;
            }
        pending_.abandon(with);
    }

    void following(context& with) override { pending_.abandon(with); }

    void tick(context& with) override
    {
        pending_.expire(with);
        answer_spread(with);
    }

private:
    replicated_log& log() { return services_.require<replicated_log>(); }

    plan_number newest() const { return applied_->plan ? applied_->plan->number : plan_number(); }

    bool was_accepted(plan_number number, digest const& content) const
    {
        auto const it = accepted_.find(number);
        return it != accepted_.end() && it->second == content;
    }

    void submit_plan(operator_request_id asker, plan_submission const& it, context& with)
    {
        with.counters.add(orders_counter);
        auto const content = it.plan ? sha256(it.plan->source) : digest();
        auto const name = "plan " + std::to_string(it.plan ? it.plan->number.value() : 0);
        if (it.plan && was_accepted(it.plan->number, content))
            return conclude(asker, name, {order_result::accepted, {}, newest()}, with);
        if (!log().may_act(with.now))
            return send_elsewhere(asker, with);
        auto failed = it.failed;
        if (it.plan)
            for (auto& each : check_plan(*it.plan))
                failed.push_back(std::move(each));
        if (!failed.empty())
            return answer(asker, name, {order_result::refused, std::move(failed), newest()}, with);
        if (it.base != newest() || it.plan->number <= newest())
            return answer(asker, name, {order_result::conflict, {}, newest()}, with);
        propose(asker, name + " " + to_hex(content), replace_plan{it.base, it.plan, content}, with);
    }

    void tell_plan(operator_request_id asker, plan_question const&, context& with)
    {
        if (!log().may_act(with.now))
            return send_elsewhere(asker, with);
        with.answer(asker, plan_told{applied_->plan});
    }

    void evacuate(operator_request_id asker, evacuation_order const& it, context& with)
    {
        with.counters.add(orders_counter);
        if (!log().may_act(with.now))
            return send_elsewhere(asker, with);
        auto const name = (it.evacuated ? "evacuation " : "evacuation_end ") + it.domain.value();
        if (pending_.empty() && applied_->evacuated.contains(it.domain) == it.evacuated)
            return conclude(asker, name, {order_result::accepted, {}, newest()}, with);
        propose(asker, name, set_evacuation{it.domain, it.evacuated}, with);
    }

    void order_rollout(operator_request_id asker, rollout_order const& it, context& with)
    {
        with.counters.add(orders_counter);
        if (!log().may_act(with.now))
            return send_elsewhere(asker, with);
        auto const name = "rollout " + it.service.value() + " " + it.version.value();
        auto const known = applied_->versions.find(it.service);
        if (known != applied_->versions.end() && known->second.next == it.version)
            return conclude(asker, name, {order_result::accepted, {}, newest()}, with);
        propose(asker, name, start_rollout{it.service, it.version, it.duration}, with);
    }

    void tell_rollout(operator_request_id asker, rollout_question const& it, context& with)
    {
        if (!log().may_act(with.now))
            return send_elsewhere(asker, with);
        auto const known = applied_->versions.find(it.service);
        with.answer(asker, rollout_told{known == applied_->versions.end() ? service_versions()
                                                                          : known->second});
    }

    template <class Command>
    void propose(operator_request_id asker, std::string const& name, Command command, context& with)
    {
        auto* const same = pending_.find([&](auto const& it) { return it.about.what == name; });
        if (same != nullptr)
            return same->askers.push_back(asker);
        auto const term = log().term();
        auto const index = log().propose(any_message::of(std::move(command)));
        if (!index)
            return send_elsewhere(asker, with);
        // A group of one may commit while it proposes.
        if (last_index_ == *index)
            return conclude(asker, name, last_, with);
        pending_.add({*index, term, with.now + config_.answer_timeout, {name}, {asker}});
    }

    void send_elsewhere(operator_request_id asker, context& with)
    {
        with.counters.add(elsewhere_counter);
        auto* const leaders = services_.find<leader_directory>();
        with.answer(asker, ask_elsewhere{leaders == nullptr ? std::nullopt
                                                            : leaders->leader_address(with.now)});
    }

    /// Answers an order that is decided. One that was accepted waits until entries cannot
    /// listen to a majority of the control instances that misses it.
    void conclude(operator_request_id asker, std::string const& name, steering_answer const& what,
                  context& with)
    {
        if (what.result != order_result::accepted)
            return answer(asker, name, what, with);
        spreading_.push_back(
            {asker, name, what, applied_->generation, with.now + config_.answer_timeout});
        answer_spread(with);
    }

    void answer_spread(context& with)
    {
        auto const* const spread = services_.find<spread_view>();
        std::erase_if(spreading_,
                      [&](accepted_order const& it)
                      {
                          if (spread == nullptr || spread->held_by_majority(it.generation))
                              answer(it.asker, it.name, it.what, with);
                          else if (it.deadline <= with.now)
                              with.answer(it.asker, outcome_unknown{});
                          else
                              return false;
                          return true;
                      });
    }

    static void answer(operator_request_id asker, std::string const& name,
                       steering_answer const& what, context& with)
    {
        static constexpr std::array names{"accepted", "conflict", "refused"};
        with.events.record(order_event,
                           {{"order", name},
                            {"result", names.at(static_cast<std::size_t>(what.result))},
                            {"newest", std::to_string(what.newest.value())},
                            {"errors", std::to_string(what.failed.size())}});
        with.answer(asker, what);
    }

    void apply_plan(log_index, replace_plan const& it, context& with)
    {
        if (was_accepted(it.plan->number, it.content))
            return accept();
        if (it.base != newest() || it.plan->number <= newest())
        {
            last_.result = order_result::conflict;
            return;
        }
        change(with, [&](steering_state& to) { to.plan = it.plan; });
        accepted_.emplace(it.plan->number, it.content);
        if (accepted_.size() > most_accepted)
            accepted_.erase(accepted_.begin());
    }

    void apply_evacuation(log_index, set_evacuation const& it, context& with)
    {
        if (applied_->evacuated.contains(it.domain) == it.evacuated)
            return accept();
        change(with,
               [&](steering_state& to)
               {
                   if (it.evacuated)
                       to.evacuated.insert(it.domain);
                   else
                       to.evacuated.erase(it.domain);
               });
    }

    void apply_start(log_index, start_rollout const& it, context& with)
    {
        auto const known = applied_->versions.find(it.service);
        if (known != applied_->versions.end() && known->second.next == it.version &&
            known->second.phase == rollout_phase::running)
            return accept();
        change(with,
               [&](steering_state& to)
               {
                   auto& versions = to.versions[it.service];
                   bool const already = versions.base == it.version;
                   versions.next = it.version;
                   versions.share = already ? whole_share : first_share;
                   versions.phase = already ? rollout_phase::succeeded : rollout_phase::running;
                   versions.duration = it.duration;
               });
    }

    void apply_step(log_index, step_rollout const& it, context& with)
    {
        auto const known = applied_->versions.find(it.service);
        if (known == applied_->versions.end() || known->second.next != it.version ||
            known->second.phase != rollout_phase::running)
            return;
        change(with,
               [&](steering_state& to)
               {
                   auto& versions = to.versions[it.service];
                   versions.share = it.share;
                   versions.phase = it.phase;
                   if (it.phase == rollout_phase::succeeded)
                       versions.base = it.version;
               });
    }

    void apply_base(log_index, note_base_version const& it, context& with)
    {
        auto const known = applied_->versions.find(it.service);
        if (known != applied_->versions.end() && !known->second.base.value().empty())
            return accept();
        change(with, [&](steering_state& to) { to.versions[it.service].base = it.version; });
    }

    template <class Change>
    void change(context& with, Change const& how)
    {
        auto next = *applied_;
        next.generation = generation_id(next.generation.value() + 1);
        how(next);
        applied_ = std::make_shared<steering_state const>(std::move(next));
        with.events.record(changed_event,
                           {{"generation", std::to_string(applied_->generation.value())},
                            {"plan", std::to_string(newest().value())}});
        accept();
    }

    void accept()
    {
        last_.result = order_result::accepted;
        last_.newest = newest();
    }

    kernel::service_map& services_;
    steering_settings const& config_;
    shared_steering applied_ = std::make_shared<steering_state const>();
    /// What other instances told, for an instance without a part in the log.
    shared_steering told_ = std::make_shared<steering_state const>();
    std::map<plan_number, digest> accepted_;
    log_index last_index_;
    steering_answer last_; ///< Result of the entry at last_index_.
    pending_requests<order_identity> pending_;
    std::vector<accepted_order> spreading_;
};

component_registrar<steering_orders> const entered{"steering", component_order::steering};

} // namespace

} // namespace mulberryrudder::control
