#ifndef MULBERRYRUDDER_TESTS_LEASE_FLEET_FAKE_REPLICA_HPP
#define MULBERRYRUDDER_TESTS_LEASE_FLEET_FAKE_REPLICA_HPP

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <memory>

namespace mulberryrudder::test
{

/// Stands in for the replicated log and the fleet state: the test says who leads, by
/// which term, until when, and which configuration is committed.
class fake_replica final : public control::component,
                           public control::replicated_log,
                           public control::fleet_state_view
{
public:
    explicit fake_replica(control::component_parts const& parts);

    void tick(control::context& with) override;

    bool may_act(instant now) const override { return leads && now < confirmed; }
    instant confirmed_until() const override { return leads ? confirmed : instant{}; }
    term_id term() const override { return current; }
    std::optional<instance_id> leader() const override { return hint; }
    std::optional<log_index> propose(any_message) override { return std::nullopt; }
    log_index applied_index() const override { return {}; }

    std::shared_ptr<fleet_config const> config() const override { return committed; }
    std::map<route_id, control::move_order> const& moves() const override { return moves_; }
    std::deque<control::ended_move> const& ended_moves() const override { return ended_; }
    control::note_record const* find_note(note_number) const override { return nullptr; }
    std::map<note_number, control::note_record> const& notes() const override { return notes_; }
    control::change_result try_note(control::commit_note const&,
                                    control::fleet_plan&) const override;
    control::change_result const& last_change() const override { return change_; }
    std::optional<log_index> propose_change(control::step_move const&) override;
    std::optional<log_index> propose_change(control::end_move const&) override;

    bool leads = false;
    bool told_leads = false; ///< What the other components were told.
    instant confirmed{};     ///< On the instance's own clock.
    term_id current;
    std::optional<instance_id> hint;
    std::shared_ptr<fleet_config const> committed = std::make_shared<fleet_config const>();

private:
    std::map<route_id, control::move_order> moves_;
    std::deque<control::ended_move> ended_;
    std::map<note_number, control::note_record> notes_;
    control::change_result change_;
};

} // namespace mulberryrudder::test

#endif
