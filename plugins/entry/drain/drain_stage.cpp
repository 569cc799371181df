#include "drain_life.hpp"

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
        kernel::field("answer_lifetime", &drain_settings::answer_lifetime, {0, 3'600'000},
                      "Milliseconds for which callers use a look-up's answer at most."),
        kernel::field(
            "connection_lifetime", &drain_settings::connection_lifetime, {0, 3'600'000},
            "Milliseconds for which callers keep a connection at most, idle time included."),
        kernel::field("margin", &drain_settings::margin, {0, 3'600'000},
                      "Milliseconds for the other instances to learn of the stop, and for delays."),
    }};

kernel::event_kind const
    drain_changed({.number = 240,
                   .name = "drain.phase_changed",
                   .level = kernel::severity::info,
                   .meaning = "This instance has entered another phase of a drain or stop.",
                   .action = "None; wait for the phase `completed` before the machine is "
                             "switched off."});

std::string_view to_string(drain_phase phase)
{
    static constexpr std::array<std::string_view, 5> names{"serving", "drained", "winding",
                                                           "closing", "completed"};
    return names.at(static_cast<std::size_t>(phase));
}

/// Takes this instance out without cutting a request.
///
/// A stopping instance serves on until no caller can know it any more: for the
/// lifetime of an answer, then of a connection that was opened by the last answer,
/// plus a margin. This is the inequality `grace > lifetime + idle + buffer` of the
/// paper on rolling restarts of connection poolers (docs/design/routing.md).
class drain_stage final : public stage, private drain_view
{
public:
    explicit drain_stage(stage_parts const& parts)
        : config_(parts.config.get(drain_section)), services_(parts.services)
    {
        parts.services.provide<drain_view>(*this);
    }

    void stopping(context& with) override
    {
        if (callers_gone_at_ != never)
            return;
        callers_gone_at_ =
            with.now + config_.answer_lifetime + config_.connection_lifetime + config_.margin;
        change(&drain_life::stop_requested, with);
    }

    void report(messages::renew_request& out, context&) override
    {
        out.stopping = out.stopping || life_.phase() >= drain_phase::winding;
    }

    void leased(messages::lease_grant const&, context& with) override
    {
        auto const& draining = services_.require<fleet_view>().config().draining;
        bool const ordered = draining.contains(with.self.self.id);
        change(ordered ? &drain_life::drain_ordered : &drain_life::drain_withdrawn, with);
    }

    void tick(context& with) override
    {
        if (with.now >= callers_gone_at_)
            change(&drain_life::callers_gone, with);
        if (life_.phase() == drain_phase::closing && with.flow.unfinished() == 0)
            change(&drain_life::work_ended, with);
    }

private:
    bool is_leaving() const override { return life_.phase() != drain_phase::serving; }

    void change(void (drain_life::*by)(), context& with)
    {
        auto const before = life_.phase();
        (life_.*by)();
        auto const now = life_.phase();
        if (now == before)
            return;
        with.events.record(drain_changed, {{"from", std::string(to_string(before))},
                                           {"to", std::string(to_string(now))}});
        if (now == drain_phase::closing)
            with.out.push_back(close_idle_callers{});
        if (now == drain_phase::completed)
            with.out.push_back(stop_completed{});
    }

    drain_settings config_;
    kernel::service_map& services_;
    drain_life life_;
    instant callers_gone_at_ = never; ///< No caller can know this instance any more.
};

stage_registrar<drain_stage> const entered{"drain", stage_order::drain};

} // namespace

} // namespace mulberryrudder::entry
