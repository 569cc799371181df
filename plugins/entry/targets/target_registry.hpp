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

/// Keeps the targets that announced themselves, their life cycles and this
/// instance's part of their slots and connections.
class target_registry final : public stage, private target_directory
{
public:
    explicit target_registry(stage_parts const& parts);

    void attempt_started(request const& what, attempt const& sent, context& with) override;
    void attempt_ended(request const& what, attempt const& sent, attempt_end const& how,
                       context& with) override;
    void announced(announcement const& it, context& with) override;
    void probed(probe_ended const& it, context& with) override;
    void received(envelope const& it, context& with) override;
    void leased(messages::lease_grant const& grant, context& with) override;
    void report(messages::renew_request& out, context& with) override;
    void tick(context& with) override;

private:
    std::vector<target_view const*> usable(route_id const& route,
                                           version_id const& version) const override;
    bool is_known(route_id const& route, version_id const& version) const override;
    bool has_free_slot(route_id const& route, version_id const& version) const override;
    std::vector<target_view const*> all() const override;

    void relayed(instance_id from, messages::target_relay const& it, context& with);
    void learn(announcement const& it, context& with);
    target_record& record_of(announcement const& it, context& with);
    void index_routes();
    void refresh(target_record& it, context& with);
    void refresh_all(context& with);
    void note_phase(target_record& it, target_phase before, context& with);
    void note_silence(target_record& it, context& with);
    void probe_if_due(target_record& it, context& with);
    void drop_gone(context& with);
    void pass_on(context& with);
    std::vector<instance_id> neighbours(context& with) const;
    slots part_of(target_record const& it) const;
    bool is_ours(domain_id const& domain) const;
    bool yields(context& with);
    void note_reply(target_record& it, attempt const& sent, attempt_end const& how, context& with);
    void note_failure(target_record& it, attempt const& sent, attempt_end const& how,
                      context& with);
    void note_refused(target_record& it, attempt const& sent, attempt_end const& how,
                      context& with);
    void note_shed(target_record& it, attempt const& sent, attempt_end const& how, context& with);
    void note_nothing(target_record& it, attempt const& sent, attempt_end const& how,
                      context& with);

    target_settings config_;
    identity const& self_;
    kernel::service_map& services_;
    lease_shares shares_;
    std::set<domain_id> adopted_;
    std::map<target_id, std::unique_ptr<target_record>> records_;
    std::unordered_map<route_id, std::vector<target_record*>> by_route_;
    std::map<target_id, announcement> unsent_; ///< Heard, but not yet passed on.
    instant relay_at_;
    instant sibling_leased_until_; ///< Till then a sibling is believed to hold a lease.
    instant first_heard_at_ = never;
    std::vector<messages::member> members_;
};

} // namespace mulberryrudder::entry

#endif
