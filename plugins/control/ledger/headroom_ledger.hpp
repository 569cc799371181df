#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_HEADROOM_LEDGER_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_HEADROOM_LEDGER_HPP

#include "ledger_settings.hpp"
#include "outstanding.hpp"

#include <mulberryrudder/control/lease_part.hpp>

#include <map>
#include <memory>

namespace mulberryrudder::control
{

/// Divides the free slots of each failure domain between the entries of the other
/// domains, so that no two of them fill the same room, and keeps within the caps of
/// the links between regions.
///
/// Invariant: a grant is raised only while all grants into the domain that may be in
/// force stay within its free slots by the last reports.
///
/// Thread safety: the decision core's thread.
class headroom_ledger final : public lease_part
{
public:
    explicit headroom_ledger(ledger_settings const& settings) : settings_(settings) {}

    /// Puts a configuration's link caps in force.
    void configure(std::shared_ptr<fleet_config const> const& config) { config_ = config; }

    void lead(instant now, instant settled) override;
    void follow() override;
    void grant(messages::renew_request const& asked, instant until, context& with,
               messages::lease_grant& out) override;
    void restarted(instance_id entry, instant now) override;
    void lapsed(instance_id entry, instant now) override;

    /// Returns a domain's free slots by the sum of its entries' reports, and what is granted
    /// into it; for checks.
    slots free_in(domain_id const& where) const;
    slots granted_into(domain_id const& where) const;

private:
    struct domain
    {
        region_id region;
        std::map<instance_id, slots> free; ///< As each of the entries reported it.
        slots all_free;                    ///< Sum of the reports, each of an entry's own part.
        slots granted;
        std::int64_t weight = 0; ///< Of the domain's own entries.
    };
    struct share
    {
        outstanding<slots> grants;
        slots counted; ///< Its part of the sums.
    };
    struct holder
    {
        instance_description where;
        std::int64_t weight = 0;
        std::map<domain_id, share> shares;
    };

    static void add_up(domain& of);
    void report(messages::renew_request const& asked);
    void weigh(holder& it, std::int64_t weight);
    void recount(holder const& of, domain_id const& into, share& it);
    slots target(holder const& it, domain_id const& into) const;
    slots link_room(holder const& from, region_id const& to) const;
    slots decide(holder const& of, domain_id const& into, share const& it, instant now) const;
    void grant_into(domain_id const& into, messages::renew_request const& asked, instant until,
                    instant now, messages::lease_grant& out);

    ledger_settings const& settings_;
    std::shared_ptr<fleet_config const> config_ = std::make_shared<fleet_config const>();
    instant settled_;
    std::map<domain_id, domain> domains_;
    std::map<instance_id, holder> holders_;
    std::map<link_id, slots> granted_over_;
    std::int64_t weight_ = 0;
};

} // namespace mulberryrudder::control

#endif
