#include <mulberryrudder/control/operator_orders.hpp>
#include <mulberryrudder/control/pending_requests.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

struct operator_orders_settings
{
    milliseconds answer_timeout{10'000};
};

kernel::section<operator_orders_settings> const orders_section{
    "operator_orders",
    {
        kernel::field("answer_timeout", &operator_orders_settings::answer_timeout, {100, 60'000},
                      "Milliseconds to wait for the commit of a drain or quarantine order before "
                      "the answer is \"unknown, ask again\"."),
    }};

kernel::event_kind const drain_event{
    {.number = 620,
     .name = "drain.ordered",
     .level = kernel::severity::info,
     .meaning = "An operator ordered an entry instance to be taken out or back in.",
     .action = "None."}};
kernel::event_kind const quarantine_event{
    {.number = 621,
     .name = "quarantine.ordered",
     .level = kernel::severity::info,
     .meaning = "An operator put a request's fingerprint into quarantine or lifted it.",
     .action = "None."}};

/// What an order's answer needs besides the result: nothing.
struct no_detail
{
};

/// Takes the orders that are no release notes: draining and quarantine. They
/// are idempotent, so a resend needs no number.
///
/// Thread safety: the decision core's thread.
class operator_orders final : public component
{
public:
    explicit operator_orders(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(orders_section))
    {
    }

    bool asked(operator_asked const& it, context& with) override
    {
        static std::array const table{on<&operator_orders::drain>(),
                                      on<&operator_orders::quarantine>()};
        return dispatch(*this, table, it.id, it.body, with);
    }

    void applied(log_entry const& it, context& with) override
    {
        pending_.settle(
            it,
            [&](operator_request_id asker, no_detail)
            { with.answer(asker, order_answer{state().last_change()}); },
            with);
    }

    void following(context& with) override { pending_.abandon(with); }
    void load(std::vector<any_message> const&, context& with) override { pending_.abandon(with); }
    void tick(context& with) override { pending_.expire(with); }

private:
    fleet_state_view& state() { return services_.require<fleet_state_view>(); }

    void drain(operator_request_id asker, set_draining const& it, context& with)
    {
        if (propose(asker, it, with))
            with.events.record(drain_event, {{"instance", std::to_string(it.instance.value())},
                                             {"draining", it.draining ? "true" : "false"}});
    }

    void quarantine(operator_request_id asker, set_quarantine const& it, context& with)
    {
        if (propose(asker, it, with))
            with.events.record(quarantine_event,
                               {{"fingerprint", to_hex(it.fingerprint)},
                                {"quarantined", it.quarantined ? "true" : "false"}});
    }

    template <class Command>
    bool propose(operator_request_id asker, Command const& command, context& with)
    {
        auto& log = services_.require<replicated_log>();
        auto const term = log.term();
        auto const index =
            log.may_act(with.now) ? log.propose(any_message::of(command)) : std::nullopt;
        if (!index)
        {
            auto const leader = log.leader();
            with.answer(asker, not_leading{leader == with.self.self.id ? std::nullopt : leader});
            return false;
        }
        // A group of one may commit while it proposes.
        if (state().last_change().index == *index)
            with.answer(asker, order_answer{state().last_change()});
        else
            pending_.add({*index, term, with.now + config_.answer_timeout, {}, {asker}});
        return true;
    }

    kernel::service_map& services_;
    operator_orders_settings const& config_;
    pending_requests<no_detail> pending_;
};

component_registrar<operator_orders> const entered{"operator_orders",
                                                   component_order::release_notes + 10};

} // namespace

} // namespace mulberryrudder::control
