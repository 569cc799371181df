#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_LEASE_STAGE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_LEASE_STAGE_HPP

#include "held_state.hpp"
#include "lease_cycle.hpp"
#include "renewal_plan.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <deque>
#include <vector>

namespace mulberryrudder::entry
{

/// Settings of the entry's lease.
struct lease_settings
{
    milliseconds renew_period{1000};
    milliseconds retry_first{250};
    milliseconds retry_most{1000};
    per_mille clock_drift{10};
};

extern kernel::section<lease_settings> const lease_section;

/// Holds the instance's lease: renews it, keeps what travels in it, and refuses
/// requests of keyed routes without it. Requests of open routes pass always.
///
/// Thread safety: the decision core's thread.
class lease_stage final : public stage, public fleet_view, private lease_observer
{
public:
    explicit lease_stage(stage_parts const& parts);

    step admit(request& what, context& with) override;
    step recheck(request const& what, context& with) override;
    void received(envelope const& it, context& with) override;
    void stopping(context& with) override;
    void tick(context& with) override;

    bool lease_live(instant now) const override { return now < deadline_; }
    instant lease_deadline() const override { return deadline_; }
    fleet_config const& config() const override { return config_.get(); }
    std::vector<messages::member> const& members() const override { return members_.list(); }
    instance_id leader() const override { return plan_.whom(); }
    term_id term() const override { return term_; }

    /// Handlers of messages, for the table.
    void granted(instance_id from, messages::lease_grant const& it, context& with);
    void refused_by(instance_id from, messages::not_leader const& it, context& with);
    void pushed(instance_id from, messages::config_push const& it, context& with);

private:
    /// A renewal on its way, with what it said.
    struct sent_renewal
    {
        sequence_id sequence;
        instant when;
        sequence_id accepted;
    };

    void lease_gained() override;
    void lease_lost() override;
    void lease_regained() override;

    step authorise(request const& what, context const& with) const;
    void renew(context& with);
    void relay(messages::config_push const& it, context& with) const;
    bool acceptable(messages::lease_grant const& it, context& with);
    sent_renewal const* find_sent(sequence_id which) const;
    bool answers_present_state(messages::lease_grant const& it, instant now) const;
    void accept(instance_id from, messages::lease_grant const& it, instant deadline, context& with);
    void publish(messages::lease_grant it, context& with);
    void note_deadline(instant now);

    lease_settings settings_;
    renewal_plan plan_;
    lease_cycle cycle_;
    held_config config_;
    held_members members_;
    instant deadline_{};
    term_id term_;
    sequence_id sequence_;
    sequence_id accepted_;
    std::vector<domain_id> adopted_;
    std::deque<sent_renewal> sent_; ///< The recent ones.
    bool started_ = false;
    bool stopping_ = false;
    context* deciding_ = nullptr; ///< Only set while the life cycle moves.
};

} // namespace mulberryrudder::entry

#endif
