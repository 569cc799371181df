#include "drain_state_machine.hpp"

#include <mulberryrudder/entry/drain_view.hpp>
#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <array>
#include <string>

namespace mulberryrudder::entry
{

namespace
{

struct drain_settings
{
    milliseconds answer_lifetime{12000};
    milliseconds connection_lifetime{30000};
    milliseconds margin{5000};
};

kernel::section<drain_settings> const drain_section{
    "drain",
    {
        kernel::field(
            "answer_lifetime", &drain_settings::answer_lifetime, {0, 3'600'000},
            "Maximum time in milliseconds for which callers use the answer to a look-up."),
        kernel::field("connection_lifetime", &drain_settings::connection_lifetime, {0, 3'600'000},
                      "Maximum time in milliseconds for which callers keep a connection open, "
                      "including idle time."),
        kernel::field(
            "margin", &drain_settings::margin, {0, 3'600'000},
            "Milliseconds added to the grace period for delays and for the notification of "
            "the other instances."),
    }};

kernel::event_kind const
    phase_changed_event({.number = 240,
                         .name = "drain.phase_changed",
                         .level = kernel::severity::info,
                         .meaning = "This instance has entered another phase of a drain or stop.",
                         .action = "None; wait for the phase `completed` before you switch off the "
                                   "machine."});

std::string_view to_string(drain_phase phase)
{
    static constexpr std::array<std::string_view, 5> names{"serving", "drained", "winding",
                                                           "closing", "completed"};
    return names.at(static_cast<std::size_t>(phase));
}

/// Drains or stops this instance without interrupting requests.
///
/// A stopping instance continues to serve for a grace period, after which no caller
/// still uses it: the lifetime of a look-up answer, plus the lifetime of a connection
/// opened at the end of it, plus a margin. This is the inequality
/// `grace > lifetime + idle + buffer` of the paper on rolling restarts of connection
/// poolers (docs/design/routing.md).
class drain_stage final : public stage, private drain_view
{
public:
    explicit drain_stage(stage_parts const& parts)
        : config_(parts.config.get(drain_section)), services_(parts.services)
    {
        parts.services.provide<drain_view>(*this);
    }

    void stopping(context& ctx) override
    {
        if (grace_deadline_ != never)
            return;
        grace_deadline_ =
            ctx.now + config_.answer_lifetime + config_.connection_lifetime + config_.margin;
        process_event(&drain_state_machine::stop_requested, ctx);
    }

    void report(messages::renew_request& out, context&) override
    {
        out.stopping = out.stopping || machine_.phase() >= drain_phase::winding;
    }

    void leased(messages::lease_grant const&, context& ctx) override
    {
        auto const& draining = services_.require<fleet_view>().config().draining;
        bool const ordered = draining.contains(ctx.self.self.id);
        process_event(ordered ? &drain_state_machine::drain_ordered
                              : &drain_state_machine::drain_withdrawn,
                      ctx);
    }

    void tick(context& ctx) override
    {
        if (ctx.now >= grace_deadline_)
            process_event(&drain_state_machine::grace_period_ended, ctx);
        if (machine_.phase() == drain_phase::closing && ctx.flow.unfinished() == 0)
            process_event(&drain_state_machine::requests_finished, ctx);
    }

private:
    bool is_leaving() const override { return machine_.phase() != drain_phase::serving; }

    /// Passes an event to the state machine; records and performs a change of the phase.
    void process_event(void (drain_state_machine::*event)(), context& ctx)
    {
        auto const before = machine_.phase();
        (machine_.*event)();
        auto const after = machine_.phase();
        if (after == before)
            return;
        ctx.events.record(phase_changed_event, {{"from", std::string(to_string(before))},
                                                {"to", std::string(to_string(after))}});
        if (after == drain_phase::closing)
            ctx.out.push_back(close_idle_callers{});
        if (after == drain_phase::completed)
            ctx.out.push_back(stop_completed{});
    }

    drain_settings config_;
    kernel::service_map& services_;
    drain_state_machine machine_;
    instant grace_deadline_ = never; ///< End of the grace period; `never` before a stop.
};

stage_registrar<drain_stage> const registrar{"drain", stage_order::drain};

} // namespace

} // namespace mulberryrudder::entry
