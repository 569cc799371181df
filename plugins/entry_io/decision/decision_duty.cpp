#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/decision_loop.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <random>

namespace mulberryrudder
{

namespace
{

/// How often the core is told that time has passed.
constexpr milliseconds tick_period{10};
kernel::event_kind const instance_started({.number = 10,
                                           .name = "entry.started",
                                           .level = kernel::severity::info,
                                           .meaning = "An entry instance started to decide.",
                                           .action = "None."});
kernel::event_kind const instance_stopped({.number = 11,
                                           .name = "entry.stopped",
                                           .level = kernel::severity::info,
                                           .meaning = "A planned stop is complete but for answers "
                                                      "that callers are still taking.",
                                           .action = "None."});

/// Runs the entry's decision core: it alone owns the core's state, takes inputs
/// from the edge duties' rings and passes each effect to the duty that does it.
class decision_duty final : public kernel::decision_loop<entry::core, entry::input, entry::effects>
{
public:
    explicit decision_duty(kernel::duty_parts const& given)
        : decision_loop(duties::decision, given,
                        {.tick_period = tick_period, .ring_capacity = duty_ring_capacity}),
          config_(given.config.get(fleet::instance_section)),
          core_({.config = given.config,
                 .counters = given.counters,
                 .events = events(),
                 .self = {.self = fleet::describe(config_),
                          .boot = fleet::new_boot_id(),
                          .control = fleet::control_ids(config_),
                          .regions = fleet::regions(config_)},
                 .seed = std::random_device{}()})
    {
        take_from<entry::input>(duties::target_io);
        take_from<entry::input>(duties::caller_io);
        take_from<envelope>(duties::peer_link);
    }

protected:
    void started() override
    {
        events().record(instance_started,
                        {{"instance", std::to_string(fleet::describe(config_).id.value())}});
        for (auto const& it : fleet::contacts(config_))
            to_peers_.post(peer::learn_instance{it.id, it.peer});
        decision_loop::started();
    }

    entry::core& core() override { return core_; }
    entry::input stop_input() const override { return entry::stop_requested{}; }
    void carry_out(entry::effect& what) override
    {
        std::visit([this, &what](auto& it) { pass_on(it, what); }, what);
    }

private:
    void pass_on(entry::answer_caller&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::answer_lookup&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::answer_question&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::accept_callers&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::limit_callers&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::close_idle_callers&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::send_attempt&, entry::effect& it) { to_targets_.post(std::move(it)); }
    void pass_on(entry::cancel_attempt&, entry::effect& it) { to_targets_.post(std::move(it)); }
    void pass_on(entry::probe_target&, entry::effect& it) { to_targets_.post(std::move(it)); }
    void pass_on(entry::forget_target&, entry::effect& it) { to_targets_.post(std::move(it)); }
    void pass_on(entry::send_message& what, entry::effect&)
    {
        to_peers_.post(std::move(what.message));
    }
    void pass_on(entry::learn_instance& what, entry::effect&)
    {
        to_peers_.post(peer::learn_instance{what.id, what.peer});
    }
    void pass_on(entry::stop_completed&, entry::effect& it)
    {
        events().record(instance_stopped, {});
        // The process ends once the callers have taken their answers.
        to_callers_.post(std::move(it));
    }

    fleet::instance_settings config_;
    kernel::outbox<entry::effect>& to_callers_ = send_to<entry::effect>(duties::caller_io);
    kernel::outbox<entry::effect>& to_targets_ = send_to<entry::effect>(duties::target_io);
    kernel::outbox<peer::order>& to_peers_ = send_to<peer::order>(duties::peer_link);
    entry::core core_;
};

kernel::duty_registrar<decision_duty> const entered{"decision", duty_order::decision};

} // namespace

} // namespace mulberryrudder
