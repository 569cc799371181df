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
    milliseconds time{600'000};
    milliseconds suspect_time{60'000};
};

kernel::section<quarantine_settings> const quarantine_section{
    "quarantine_list",
    {
        kernel::field("time", &quarantine_settings::time, {1'000, 86'400'000},
                      "Milliseconds for which a request stays in quarantine unless it is lifted."),
        kernel::field("suspect_time", &quarantine_settings::suspect_time, {1'000, 3'600'000},
                      "Milliseconds within which two deaths put a request into quarantine."),
    }};

kernel::event_kind const
    entered_list({.number = 740,
                  .name = "quarantine.listed",
                  .level = kernel::severity::error,
                  .meaning = "Two targets died of a request; it is in quarantine fleet-wide.",
                  .action = "Mend the target; see `mulberryctl quarantine`."});

constexpr std::size_t deaths_to_quarantine = 2;
constexpr span proposal_patience = seconds(1);

/// Puts requests that two targets died of on the fleet's list, from the deaths
/// that the entries report, and takes them off after the stated time. The entries
/// refuse by themselves already; the list is for operators, for entries that
/// start later, and for lifting.
///
/// Thread safety: the decision core's thread.
class quarantine final : public component
{
public:
    explicit quarantine(component_parts const& parts)
        : services_(parts.services), config_(parts.config.get(quarantine_section))
    {
    }

    void received(envelope const& it, context& with) override
    {
        static std::array const table{on<&quarantine::renewed>()};
        dispatch(*this, table, it.from, it.body, with);
    }

    void renewed(instance_id, messages::renew_request const& it, context& with)
    {
        if (!leads(with))
            return;
        for (auto const& print : it.suspects)
        {
            auto& seen = suspects_[print];
            ++seen.deaths;
            seen.until = with.now + config_.suspect_time;
            if (seen.deaths >= deaths_to_quarantine && !listed().contains(print))
                propose(print, true, with);
        }
    }

    void tick(context& with) override
    {
        std::erase_if(suspects_, [&](auto const& it) { return it.second.until <= with.now; });
        if (!leads(with))
            return listed_until_.clear();
        std::erase_if(listed_until_, [&](auto const& it) { return !listed().contains(it.first); });
        // A new leader counts the time anew: longer is the safe side.
        for (auto const& print : listed())
        {
            auto const it = listed_until_.try_emplace(print, with.now + config_.time).first;
            if (it->second <= with.now)
            {
                it->second = with.now + proposal_patience;
                propose(print, false, with);
            }
        }
    }

private:
    struct suspect
    {
        std::size_t deaths = 0;
        instant until;
    };

    bool leads(context const& with) const
    {
        return services_.require<replicated_log>().may_act(with.now);
    }

    std::set<digest> const& listed() const
    {
        return services_.require<fleet_state_view>().config()->quarantined;
    }

    void propose(digest const& print, bool in, context& with)
    {
        services_.require<replicated_log>().propose(any_message::of(set_quarantine{print, in}));
        if (in)
            with.events.record(entered_list, {{"fingerprint", to_hex(print)}});
    }

    kernel::service_map& services_;
    quarantine_settings const& config_;
    std::map<digest, suspect> suspects_;
    std::map<digest, instant> listed_until_;
};

component_registrar<quarantine> const entered{"quarantine", component_order::moves + 10};

} // namespace

} // namespace mulberryrudder::control
