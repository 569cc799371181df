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
     .meaning = "An operator ordered that an entry instance drains, or that it serves again.",
     .action = "None."}};
kernel::event_kind const quarantine_event{
    {.number = 621,
     .name = "quarantine.ordered",
     .level = kernel::severity::info,
     .meaning = "An operator put the fingerprint of a request into quarantine, or lifted the "
                "quarantine.",
     .action = "None."}};

/// The answer to an order needs no detail but the result.
struct no_detail
{
};

/// Proposes operators' orders to drain an entry instance or to quarantine a fingerprint. They
/// are idempotent, so they need no number to recognise a resent order.
///
/// Thread safety: the decision core's thread.
class operator_orders final : public component
{
public:
    explicit operator_orders(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(orders_section))
    {
    }

    bool asked(operator_asked const& request, context& ctx) override
    {
        static std::array const table{on<&operator_orders::drain>(),
                                      on<&operator_orders::quarantine>()};
        return dispatch(*this, table, request.id, request.body, ctx);
    }

    void applied(log_entry const& entry, context& ctx) override
    {
        pending_.settle(
            entry,
            [&](operator_request_id requester, no_detail)
            { ctx.answer(requester, order_answer{state().last_change()}); },
            ctx);
    }

    void following(context& ctx) override { pending_.abandon(ctx); }
    void load(std::vector<any_message> const&, context& ctx) override { pending_.abandon(ctx); }
    void tick(context& ctx) override { pending_.expire(ctx); }

private:
    fleet_state_view& state() { return services_.require<fleet_state_view>(); }

    void drain(operator_request_id requester, set_draining const& order, context& ctx)
    {
        if (propose(requester, order, ctx))
            ctx.events.record(drain_event, {{"instance", std::to_string(order.instance.value())},
                                            {"draining", order.draining ? "true" : "false"}});
    }

    void quarantine(operator_request_id requester, set_quarantine const& order, context& ctx)
    {
        if (propose(requester, order, ctx))
            ctx.events.record(quarantine_event,
                              {{"fingerprint", to_hex(order.fingerprint)},
                               {"quarantined", order.quarantined ? "true" : "false"}});
    }

    template <class Command>
    bool propose(operator_request_id requester, Command const& command, context& ctx)
    {
        auto& log = services_.require<replicated_log>();
        auto const term = log.term();
        auto const index =
            log.may_act(ctx.now) ? log.propose(any_message::of(command)) : std::nullopt;
        if (!index)
        {
            auto const leader = log.leader();
            ctx.answer(requester, not_leading{leader == ctx.self.self.id ? std::nullopt : leader});
            return false;
        }
        // With a single voter, the entry may be committed before propose() returns.
        if (state().last_change().index == *index)
            ctx.answer(requester, order_answer{state().last_change()});
        else
            pending_.add({*index, term, ctx.now + config_.answer_timeout, {}, {requester}});
        return true;
    }

    kernel::service_map& services_;
    operator_orders_settings const& config_;
    pending_requests<no_detail> pending_;
};

component_registrar<operator_orders> const registrar{"operator_orders",
                                                     component_order::release_notes + 10};

} // namespace

} // namespace mulberryrudder::control
