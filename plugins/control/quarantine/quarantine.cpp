#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <array>
#include <map>

namespace mulberryrudder::control
{

namespace
{

struct quarantine_settings
{
    milliseconds listed_for{600'000};
    milliseconds suspect_window{60'000};
};

kernel::section<quarantine_settings> const quarantine_section{
    "quarantine_list",
    {
        kernel::field(
            "time", &quarantine_settings::listed_for, {1'000, 86'400'000},
            "Milliseconds after which the leader lifts a request's quarantine if no operator "
            "did."),
        kernel::field(
            "suspect_time", &quarantine_settings::suspect_window, {1'000, 3'600'000},
            "Milliseconds after the last reported target death for which a request stays a "
            "suspect; a second death in this time puts it into quarantine."),
    }};

kernel::event_kind const listed_event(
    {.number = 740,
     .name = "quarantine.listed",
     .level = kernel::severity::error,
     .meaning = "A request was in flight at the deaths of two targets; its quarantine on the "
                "whole fleet was proposed.",
     .action = "Fix the fault in the targets; see `mulberryctl quarantine`."});

constexpr std::size_t deaths_to_quarantine = 2;
/// Time after which a command that is still not in force is proposed again.
constexpr span proposal_timeout = seconds(1);

/// Maintains the fleet's list of quarantined requests. It adds a request once the
/// entries have reported two target deaths for its fingerprint, and removes it after
/// the configured time. Entries already refuse such requests on their own; the list
/// shows them to operators, informs entries that start later, and lets operators lift
/// a quarantine.
///
/// Thread safety: the decision core's thread.
class quarantine final : public component
{
public:
    explicit quarantine(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(quarantine_section))
    {
    }

    void received(envelope const& message, context& ctx) override
    {
        static std::array const table{on<&quarantine::renew_received>()};
        dispatch(*this, table, message.from, message.body, ctx);
    }

    void renew_received(instance_id, messages::renew_request const& request, context& ctx)
    {
        if (!may_act(ctx))
            return;
        for (auto const& fingerprint : request.suspects)
        {
            auto& suspect_request = suspects_[fingerprint];
            ++suspect_request.deaths;
            suspect_request.expires_at = ctx.now + config_.suspect_window;
            if (suspect_request.deaths >= deaths_to_quarantine &&
                !quarantined().contains(fingerprint))
                propose(fingerprint, true, ctx);
        }
    }

    void tick(context& ctx) override
    {
        std::erase_if(suspects_, [&](auto const& it) { return it.second.expires_at <= ctx.now; });
        if (!may_act(ctx))
            return lift_at_.clear();
        std::erase_if(lift_at_, [&](auto const& it) { return !quarantined().contains(it.first); });
        // A new leader restarts the quarantine time, since only the list itself is replicated.
        // A longer quarantine is the safe error.
        for (auto const& fingerprint : quarantined())
        {
            auto const it = lift_at_.try_emplace(fingerprint, ctx.now + config_.listed_for).first;
            if (it->second <= ctx.now)
            {
                it->second = ctx.now + proposal_timeout;
                propose(fingerprint, false, ctx);
            }
        }
    }

private:
    struct suspect
    {
        std::size_t deaths = 0;
        instant expires_at;
    };

    bool may_act(context const& ctx) const
    {
        return services_.require<replicated_log>().may_act(ctx.now);
    }

    std::set<digest> const& quarantined() const
    {
        return services_.require<fleet_state_view>().config()->quarantined;
    }

    void propose(digest const& fingerprint, bool is_quarantined, context& ctx)
    {
        services_.require<replicated_log>().propose(
            any_message::of(set_quarantine{fingerprint, is_quarantined}));
        if (is_quarantined)
            ctx.events.record(listed_event, {{"fingerprint", to_hex(fingerprint)}});
    }

    kernel::service_map& services_;
    quarantine_settings const& config_;
    std::map<digest, suspect> suspects_;
    std::map<digest, instant> lift_at_;
};

component_registrar<quarantine> const registration{"quarantine", component_order::moves + 10};

} // namespace

} // namespace mulberryrudder::control
