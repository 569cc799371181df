#include <mulberryrudder/control/core.hpp>
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
kernel::event_kind const instance_started({.number = 12,
                                           .name = "control.started",
                                           .level = kernel::severity::info,
                                           .meaning = "A control instance started to decide.",
                                           .action = "None."});
kernel::event_kind const instance_stopped({.number = 13,
                                           .name = "control.stopped",
                                           .level = kernel::severity::info,
                                           .meaning = "A planned stop is complete.",
                                           .action = "None."});

/// Settings that number the control instances tell their addresses at each start, so
/// nothing of them is kept in the log.
std::map<instance_id, endpoint> contact_map(fleet::instance_settings const& it)
{
    std::map<instance_id, endpoint> out;
    if (it.control.empty())
        for (auto const& contact : fleet::contacts(it))
            out.emplace(contact.id, contact.peer);
    return out;
}

/// Runs the control's decision core. Nothing is decided before the disk duty has
/// told what it recovered.
class decision_duty final
    : public kernel::decision_loop<control::core, control::input, control::effects>
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
                          .initial_voters = fleet::control_ids(config_),
                          .contacts = contact_map(config_),
                          .operators = config_.operators,
                          .may_found = config_.founding},
                 .seed = std::random_device{}()})
    {
        take_from<control::input>(duties::disk);
        take_from<control::input>(duties::operator_io);
        take_from<envelope>(duties::peer_link);
        wait_for_first_source();
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

    control::core& core() override { return core_; }
    control::input stop_input() const override { return control::stop_requested{}; }
    void carry_out(control::effect& what) override
    {
        std::visit([this, &what](auto& it) { pass_on(it, what); }, what);
    }

private:
    void pass_on(control::persist&, control::effect& it) { to_disk_.post(std::move(it)); }
    void pass_on(control::persist_snapshot&, control::effect& it) { to_disk_.post(std::move(it)); }
    void pass_on(control::keep_record&, control::effect& it) { to_disk_.post(std::move(it)); }
    void pass_on(control::reopen_disk&, control::effect& it) { to_disk_.post(std::move(it)); }
    void pass_on(control::answer_operator&, control::effect& it)
    {
        to_operators_.post(std::move(it));
    }
    void pass_on(control::send_message& what, control::effect&)
    {
        to_peers_.post(std::move(what.message));
    }
    void pass_on(control::learn_instance& what, control::effect&)
    {
        to_peers_.post(peer::learn_instance{what.id, what.peer, what.restarted});
    }
    void pass_on(control::stop_completed&, control::effect&)
    {
        events().record(instance_stopped, {});
        parts().end_process(0);
    }

    fleet::instance_settings config_;
    kernel::outbox<control::effect>& to_disk_ = send_to<control::effect>(duties::disk);
    kernel::outbox<control::effect>& to_operators_ = send_to<control::effect>(duties::operator_io);
    kernel::outbox<peer::order>& to_peers_ = send_to<peer::order>(duties::peer_link);
    control::core core_;
};

kernel::duty_registrar<decision_duty> const entered{"decision", duty_order::decision};

} // namespace

} // namespace mulberryrudder
