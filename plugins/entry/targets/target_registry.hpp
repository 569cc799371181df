#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_REGISTRY_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_REGISTRY_HPP

#include "target_record.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/lease_shares.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/messages/targets.hpp>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// Keeps the announced targets, their life cycles and this instance's share of their slots
/// and connections.
class target_registry final : public stage, private target_directory
{
public:
    explicit target_registry(stage_parts const& parts);

    void attempt_started(request const& req, attempt const& sent, context& ctx) override;
    void attempt_ended(request const& req, attempt const& sent, attempt_end const& result,
                       context& ctx) override;
    void announced(announcement const& notice, context& ctx) override;
    void probed(probe_ended const& result, context& ctx) override;
    void received(envelope const& message, context& ctx) override;
    void leased(messages::lease_grant const& grant, context& ctx) override;
    void report(messages::renew_request& out, context& ctx) override;
    void tick(context& ctx) override;

private:
    std::vector<target_view const*> usable(route_id const& route,
                                           version_id const& version) const override;
    bool is_known(route_id const& route, version_id const& version) const override;
    bool has_free_slot(route_id const& route, version_id const& version) const override;
    std::vector<target_view const*> all() const override;

    void handle_relay(instance_id sender, messages::target_relay const& relay, context& ctx);
    void update_target(announcement const& notice, context& ctx);
    target_record& find_or_add(announcement const& notice, context& ctx);
    void index_routes();
    void refresh(target_record& record, context& ctx);
    void refresh_all(context& ctx);
    void update_phase(target_record& record, target_phase before, context& ctx);
    void check_announcements(target_record& record, context& ctx);
    void probe_if_due(target_record& record, context& ctx);
    void remove_gone(context& ctx);
    void relay_announcements(context& ctx);
    std::vector<instance_id> region_members(context& ctx) const;
    slots slot_share_of(target_record const& record) const;
    bool is_served_here(domain_id const& domain) const;
    bool defers_to_sibling(context& ctx);
    void on_reply(target_record& record, attempt const& sent, attempt_end const& result,
                  context& ctx);
    void on_failure(target_record& record, attempt const& sent, attempt_end const& result,
                    context& ctx);
    void on_connection_failure(target_record& record, attempt const& sent,
                               attempt_end const& result, context& ctx);
    void on_shed(target_record& record, attempt const& sent, attempt_end const& result,
                 context& ctx);
    void on_cancelled(target_record& record, attempt const& sent, attempt_end const& result,
                      context& ctx);

    target_settings config_;
    identity const& self_;
    kernel::service_map& services_;
    lease_shares shares_;
    std::set<domain_id> adopted_;
    std::map<target_id, std::unique_ptr<target_record>> records_;
    std::unordered_map<route_id, std::vector<target_record*>> by_route_;
    /// Announcements received from targets but not relayed yet.
    std::map<target_id, announcement> pending_relay_;
    instant next_relay_at_;
    instant sibling_lease_until_; ///< A sibling is assumed to hold a lease until then.
    instant first_announcement_at_ = never;
    std::vector<messages::member> members_;
};

} // namespace mulberryrudder::entry

#endif
