#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_REGIONS_REGIONS_STAGE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_REGIONS_REGIONS_STAGE_HPP

#include "link_budget.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/lease_shares.hpp>
#include <mulberryrudder/entry/queue_view.hpp>
#include <mulberryrudder/entry/spill_view.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/entry/target_directory.hpp>
#include <mulberryrudder/messages/spill.hpp>

#include <map>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// The `regions` section of the settings.
struct region_settings
{
    bool spill = true;
    milliseconds patience{50};
    milliseconds least_time_left{100};
    milliseconds hold_margin{1000};
    milliseconds full_pause{20};
    std::int64_t most_tries = 3;
};

/// Sends requests that the own failure domain has no room for to an entry instance of
/// another one, within headroom grants and link caps, and takes such requests in.
class regions_stage final : public stage, private spill_view
{
public:
    explicit regions_stage(stage_parts const& parts);

    step admit(request& what, context& with) override;
    void finished(request const& what, outcome const& how, context& with) override;
    void received(envelope const& it, context& with) override;
    void leased(messages::lease_grant const& grant, context& with) override;
    void tick(context& with) override;

private:
    /// A request that runs, or may run, in another failure domain.
    struct spilled
    {
        domain_id domain;
        instance_id instance;
        instant held_until; ///< When it cannot run any more, reply or not.
    };
    /// The right to run requests in another failure domain.
    struct headroom
    {
        slots granted;
        slots running;
        instant full_until;     ///< It had no room lately.
        std::uint64_t turn = 0; ///< Lets the domain's instances take turns.
    };

    bool has_grants(instant now) const override;

    void request_came(instance_id from, messages::spill_request const& it, context& with);
    void reply_came(instance_id from, messages::spill_reply const& it, context& with);
    void cancel_came(instance_id from, messages::spill_cancel const& it, context& with);

    bool is_local_enough(request const& what, context& with) const;
    bool spill(request& what, context& with);
    void spill_waiting(context& with);
    messages::member const* receiver_for(domain_id const& domain, headroom& room) const;
    std::vector<domain_id> domains_with_room(instant now) const;
    void send_away(request& what, messages::member const& to, headroom& room, context& with);
    void release(std::unordered_map<request_id, spilled>::iterator it);
    bool may_take(instance_id from, messages::spill_request const& it, context& with);
    std::optional<bytes_per_second> part_of_link(region_id const& to) const;
    bool link_has_room(region_id const& to, byte_count size, context& with);
    void charge_link(region_id const& to, byte_count size, context& with);
    region_id region_of(instance_id who) const;

    region_settings config_;
    identity const& self_;
    kernel::service_map& services_;
    std::map<domain_id, headroom> rooms_;
    std::unordered_map<request_id, spilled> spilled_;
    std::unordered_map<request_id, std::int64_t> tries_;             ///< Domains that had no room.
    std::map<std::pair<instance_id, request_id>, request_id> taken_; ///< By sender's id.
    std::map<region_id, link_budget> links_;
    lease_shares shares_; ///< Of the links, between the entry instances of the region.
};

} // namespace mulberryrudder::entry

#endif
