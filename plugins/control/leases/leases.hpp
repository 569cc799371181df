#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEASES_LEASES_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEASES_LEASES_HPP

#include "config_history.hpp"
#include "member_table.hpp"

#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control/lease_part.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <map>
#include <optional>
#include <set>

namespace mulberryrudder::control
{

/// Settings of the control's side of the leases; the same on each control instance.
struct leases_settings
{
    milliseconds lease{4000};
    per_mille clock_drift{10};
    milliseconds member_retention{600'000};
    std::int64_t config_history = 64;
};

extern kernel::section<leases_settings> const leases_section;

/// Grants leases to the entries while this replica may act as leader, tells them at
/// once of a new configuration, and gives a failure domain without live entries to
/// its sibling.
///
/// Thread safety: the decision core's thread.
class leases final : public component
{
public:
    explicit leases(component_parts const& parts);

    void received(envelope const& it, context& with) override;
    void applied(log_entry const& it, context& with) override;
    void leading(context& with) override;
    void following(context& with) override;
    void tick(context& with) override;

    /// Handler of a message, for the table.
    void renewed(instance_id from, messages::renew_request const& it, context& with);

private:
    /// What is known of one entry.
    struct session
    {
        instance_description where;
        boot_id boot;
        sequence_id last;
        instant until{}; ///< The entry cannot act by any grant after this.
    };

    replicated_log const& log() const { return services_.require<replicated_log>(); }
    lease_parts& parts() const { return services_.require<lease_parts>(); }

    bool accept_sequence(messages::renew_request const& it, context& with);
    void answer(messages::renew_request const& it, context& with);
    void refuse(instance_id to, sequence_id sequence, context& with) const;
    void add_config(messages::renew_request const& it, messages::lease_grant& out);
    void push_if_newer(context& with);
    void push(config_history::parcel const& what, context& with);
    void note_adoption(messages::renew_request const& it);
    void add_adopted(messages::renew_request const& it, context& with,
                     messages::lease_grant& out) const;
    bool has_live_entry(domain_id const& domain, instant now) const;
    std::optional<domain_id> adopter_of(domain_id const& orphan, instant now) const;
    void end_lapsed(context& with);

    leases_settings const& settings_;
    kernel::service_map const& services_;
    config_history history_;
    member_table members_;
    std::map<instance_id, session> sessions_;
    std::set<instance_id> live_;
    std::map<domain_id, region_id> domains_; ///< That have or had entries.
    instant settled_{}; ///< Grants of former leaders may be in force until then.
};

} // namespace mulberryrudder::control

#endif
