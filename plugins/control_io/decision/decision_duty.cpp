#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/kernel/outbox.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/asio/post.hpp>

#include <random>

namespace mulberryrudder
{

namespace
{

/// How often the core is told that time has passed.
constexpr milliseconds tick_period{10};
/// Inputs that are taken from the rings before other work has its turn.
constexpr int batch_size = 256;

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

/// Runs the control's decision core. Nothing is decided before the disk duty has
/// told what it recovered.
class decision_duty final : public kernel::asio_duty
{
public:
    explicit decision_duty(kernel::duty_parts const& given)
        : asio_duty(duties::decision, given), config_(given.config.get(fleet::instance_section)),
          from_disk_(link<control::input>(duties::disk)),
          from_operators_(link<control::input>(duties::operator_io)),
          from_peers_(link<envelope>(duties::peer_link)),
          to_disk_(link_to<control::effect>(duties::disk)),
          to_operators_(link_to<control::effect>(duties::operator_io)),
          to_peers_(link_to<peer::order>(duties::peer_link)),
          core_({.config = given.config,
                 .counters = given.counters,
                 .events = events(),
                 .self = {.self = fleet::describe(config_),
                          .boot = fleet::new_boot_id(),
                          .initial_voters = fleet::control_ids(config_)},
                 .seed = std::random_device{}()})
    {
    }

    void prepare_stop() override
    {
        boost::asio::post(loop(), [this] { decide(control::stop_requested{}); });
    }

protected:
    void started() override
    {
        events().record(instance_started, {{"instance", std::to_string(config_.id.value())}});
        for (auto const& it : config_.control)
            to_peers_.post(peer::learn_instance{it.id, it.peer});
        run_every(tick_period, [this] { tick(); });
    }

    void take_messages() override
    {
        for (int n = 0; n != batch_size && !blocked(); ++n)
            if (!take_one())
                return;
    }

private:
    template <class T>
    kernel::ring<T>& link(kernel::duty_name const& from)
    {
        return parts().links.link<T>(from, name(), duty_ring_capacity);
    }
    template <class T>
    kernel::ring<T>& link_to(kernel::duty_name const& to)
    {
        return parts().links.link<T>(name(), to, duty_ring_capacity);
    }

    /// Takes one message from each ring; false if all were empty.
    bool take_one()
    {
        bool any = false;
        control::input input;
        if (from_disk_.try_pop(input))
        {
            recovered_ = true;
            decide(input);
            any = true;
        }
        if (!recovered_)
            return any;
        if (from_operators_.try_pop(input))
        {
            decide(input);
            any = true;
        }
        envelope message;
        if (from_peers_.try_pop(message))
        {
            decide(control::message_arrived{std::move(message)});
            any = true;
        }
        return any;
    }

    bool blocked() const
    {
        return to_disk_.blocked() || to_operators_.blocked() || to_peers_.blocked();
    }

    void decide(control::input const& what)
    {
        core_.handle(monotonic_now(), what, effects_);
        carry_out();
    }

    void tick()
    {
        to_disk_.flush();
        to_operators_.flush();
        to_peers_.flush();
        if (!recovered_)
            return;
        core_.tick(monotonic_now(), effects_);
        carry_out();
        take_messages();
    }

    void carry_out()
    {
        for (auto& it : effects_)
            std::visit([this, &it](auto& what) { pass_on(what, it); }, it);
        effects_.clear();
    }

    void pass_on(control::persist&, control::effect& it) { to_disk_.post(std::move(it)); }
    void pass_on(control::persist_snapshot&, control::effect& it) { to_disk_.post(std::move(it)); }
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
        to_peers_.post(peer::learn_instance{what.id, what.peer});
    }
    void pass_on(control::stop_completed&, control::effect&)
    {
        events().record(instance_stopped, {});
        parts().end_process(0);
    }

    fleet::instance_settings config_;
    kernel::ring<control::input>& from_disk_;
    kernel::ring<control::input>& from_operators_;
    kernel::ring<envelope>& from_peers_;
    kernel::outbox<control::effect> to_disk_;
    kernel::outbox<control::effect> to_operators_;
    kernel::outbox<peer::order> to_peers_;
    control::core core_;
    control::effects effects_;
    bool recovered_ = false;
};

kernel::duty_registrar<decision_duty> const entered{"decision", duty_order::decision};

} // namespace

} // namespace mulberryrudder
