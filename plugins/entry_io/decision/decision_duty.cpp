#include <mulberryrudder/entry/core.hpp>
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
/// Inputs that are taken from one ring before the next ring has its turn.
constexpr int batch_size = 256;

kernel::event_kind const instance_started({.number = 10,
                                           .name = "entry.started",
                                           .level = kernel::severity::info,
                                           .meaning = "An entry instance started to decide.",
                                           .action = "None."});
kernel::event_kind const instance_stopped({.number = 11,
                                           .name = "entry.stopped",
                                           .level = kernel::severity::info,
                                           .meaning = "A planned stop is complete.",
                                           .action = "None."});

/// Runs the entry's decision core: it alone owns the core's state, takes inputs
/// from the edge duties' rings and passes each effect to the duty that does it.
class decision_duty final : public kernel::asio_duty
{
public:
    explicit decision_duty(kernel::duty_parts const& given)
        : asio_duty(duties::decision, given), config_(given.config.get(fleet::instance_section)),
          from_callers_(link<entry::input>(duties::caller_io)),
          from_targets_(link<entry::input>(duties::target_io)),
          from_peers_(link<envelope>(duties::peer_link)),
          to_callers_(link_to<entry::effect>(duties::caller_io)),
          to_targets_(link_to<entry::effect>(duties::target_io)),
          to_peers_(link_to<peer::order>(duties::peer_link)),
          core_({.config = given.config,
                 .counters = given.counters,
                 .events = events(),
                 .self = {.self = fleet::describe(config_),
                          .boot = fleet::new_boot_id(),
                          .control = fleet::control_ids(config_)},
                 .seed = std::random_device{}()})
    {
    }

    void prepare_stop() override
    {
        boost::asio::post(loop(), [this] { decide(entry::stop_requested{}); });
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
        entry::input input;
        if (from_targets_.try_pop(input))
        {
            decide(input);
            any = true;
        }
        if (from_callers_.try_pop(input))
        {
            decide(input);
            any = true;
        }
        envelope message;
        if (from_peers_.try_pop(message))
        {
            decide(entry::message_arrived{std::move(message)});
            any = true;
        }
        return any;
    }

    bool blocked() const
    {
        return to_callers_.blocked() || to_targets_.blocked() || to_peers_.blocked();
    }

    void decide(entry::input const& what)
    {
        core_.handle(monotonic_now(), what, effects_);
        carry_out();
    }

    void tick()
    {
        to_callers_.flush();
        to_targets_.flush();
        to_peers_.flush();
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

    void pass_on(entry::answer_caller&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::answer_lookup&, entry::effect& it) { to_callers_.post(std::move(it)); }
    void pass_on(entry::answer_question&, entry::effect& it) { to_callers_.post(std::move(it)); }
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
    void pass_on(entry::stop_completed&, entry::effect&)
    {
        events().record(instance_stopped, {});
        parts().end_process(0);
    }

    fleet::instance_settings config_;
    kernel::ring<entry::input>& from_callers_;
    kernel::ring<entry::input>& from_targets_;
    kernel::ring<envelope>& from_peers_;
    kernel::outbox<entry::effect> to_callers_;
    kernel::outbox<entry::effect> to_targets_;
    kernel::outbox<peer::order> to_peers_;
    entry::core core_;
    entry::effects effects_;
};

kernel::duty_registrar<decision_duty> const entered{"decision", duty_order::decision};

} // namespace

} // namespace mulberryrudder
