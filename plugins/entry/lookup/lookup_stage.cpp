#include "answer_table.hpp"

#include <mulberryrudder/entry/drain_view.hpp>
#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <algorithm>
#include <set>

namespace mulberryrudder::entry
{

namespace
{

kernel::counter_kind const answered_ones("lookup.answered", "Look-ups answered with instances.");
kernel::counter_kind const unknown_routes("lookup.unknown_route",
                                          "Look-ups of a route that the configuration lacks.");
kernel::counter_kind const unknown_blocks("lookup.unknown_block",
                                          "Look-ups of clients that are in no known block.");
kernel::counter_kind const without_lease("lookup.without_lease",
                                         "Look-ups answered while this instance held no lease.");

kernel::event_kind const
    nobody_usable({.number = 230,
                   .name = "lookup.no_usable_instance",
                   .level = kernel::severity::warning,
                   .meaning = "No entry instance is live and staying; look-ups name what is left.",
                   .action = "Check that the entry instances reach the control instances."});

using members = std::vector<messages::member>;

/// Returns the members that pass, or all of them if none does: a full instance is
/// better than no answer.
template <class Test>
members prefer(members const& from, Test const& test)
{
    members out;
    std::copy_if(from.begin(), from.end(), std::back_inserter(out), test);
    return out.empty() ? from : out;
}

/// Answers which entry instances a client should use, best first.
class lookup_stage final : public stage
{
public:
    explicit lookup_stage(stage_parts const& parts)
        : config_(parts.config.get(lookup_section)), services_(parts.services),
          answers_({.sites = config_.sites,
                    .site_names = names(),
                    .unknown = {.regions = {parts.self.self.region}, .domain = {}},
                    .most_instances = static_cast<std::size_t>(config_.most_instances)})
    {
        answers_.rebuild({messages::member{.where = parts.self.self, .live = true}});
    }

    void leased(messages::lease_grant const&, context& with) override { rebuild(with); }

    void stopping(context& with) override { rebuild(with); }

    void tick(context& with) override
    {
        bool const live = services_.require<fleet_view>().lease_live(with.now);
        if (live != was_live_)
            rebuild(with);
    }

    bool look_up(lookup_arrived const& it, context& with) override
    {
        if (!is_known(it.route))
        {
            with.counters.add(unknown_routes);
            return false;
        }
        auto const site =
            config_.blocks.content ? config_.blocks.content->table.find(it.client) : no_site;
        if (site == no_site)
            with.counters.add(unknown_blocks);
        auto const hash = hash_of(it.client);
        with.counters.add(was_live_ ? answered_ones : without_lease);
        with.out.push_back(answer_lookup{.id = it.id,
                                         .instances = answers_.find(site, hash),
                                         .time_to_live = time_to_live(hash)});
        return true;
    }

private:
    std::vector<std::string> const& names() const
    {
        static std::vector<std::string> const none;
        return config_.blocks.content ? config_.blocks.content->sites : none;
    }

    /// Before the first lease no route is known, and any may exist.
    bool is_known(route_id const& route) const
    {
        auto const& config = services_.require<fleet_view>().config();
        return config.generation == generation_id(0) || config.routes.contains(route);
    }

    milliseconds time_to_live(std::uint64_t hash) const
    {
        if (!was_live_)
            return config_.time_to_live_without_lease;
        auto const spread = static_cast<std::uint64_t>(config_.time_to_live_spread.count()) + 1;
        auto const less = static_cast<std::int64_t>((hash >> 32U) % spread);
        return config_.time_to_live * (whole_share.count() - less) / whole_share.count();
    }

    void rebuild(context& with)
    {
        was_live_ = services_.require<fleet_view>().lease_live(with.now);
        auto usable = staying_members(with);
        if (usable.empty())
        {
            with.events.record(nobody_usable, {});
            usable = {messages::member{.where = with.self.self, .live = true}};
        }
        usable = prefer(usable, [](auto const& it) { return it.free.count() > 0; });
        answers_.rebuild(usable);
    }

    /// Returns the live members that are not being taken out. Without a lease it is
    /// not known who lives: those of the own failure domain are likely to be reached.
    members staying_members(context& with) const
    {
        auto const& fleet = services_.require<fleet_view>();
        auto const& draining = fleet.config().draining;
        auto const* const drain = services_.find<drain_view>();
        bool const self_leaves = drain != nullptr && drain->is_leaving();
        members out;
        for (auto const& it : fleet.members())
        {
            bool const self = it.where.id == with.self.self.id;
            bool const leaves = it.stopping || draining.contains(it.where.id);
            if (it.live && !leaves && !(self && self_leaves))
                out.push_back(it);
        }
        if (was_live_)
            return out;
        return prefer(out,
                      [&](auto const& it) { return it.where.domain == with.self.self.domain; });
    }

    lookup_settings config_;
    kernel::service_map& services_;
    answer_table answers_;
    bool was_live_ = false;
};

stage_registrar<lookup_stage> const entered{"lookup", stage_order::lookup};

} // namespace

} // namespace mulberryrudder::entry
