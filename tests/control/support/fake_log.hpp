#ifndef MULBERRYRUDDER_TESTS_CONTROL_SUPPORT_FAKE_LOG_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_SUPPORT_FAKE_LOG_HPP

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <deque>
#include <utility>
#include <vector>

namespace mulberryrudder::control::testing
{

/// Fake replicated log of one replica. The test sets who leads and what is committed; the next
/// tick applies it.
class fake_log final : public component, public replicated_log
{
public:
    explicit fake_log(component_parts const& parts)
    {
        parts.services.provide<replicated_log>(*this);
        parts.services.provide<fake_log>(*this);
    }

    bool may_act(instant) const override { return leads; }
    instant confirmed_until() const override { return leads ? never : instant(); }
    term_id term() const override { return current_term; }
    std::optional<instance_id> leader() const override { return known_leader; }
    log_index applied_index() const override { return last_applied; }

    std::optional<log_index> propose(any_message command) override
    {
        if (!leads)
            return std::nullopt;
        log_index const index(last_applied.value() + proposed.size() + 1);
        proposed.push_back({current_term, index, std::move(command)});
        return index;
    }

    void tick(context& ctx) override
    {
        if (step_down)
            ctx.observers.publish_following();
        step_down = false;
        if (std::exchange(takes_the_lead, false))
        {
            leads = true;
            ctx.observers.publish_leading();
        }
        for (; !committed.empty(); committed.pop_front())
        {
            last_applied = committed.front().index;
            ctx.observers.publish_applied(committed.front());
        }
        if (!snapshot_to_load.empty())
            ctx.observers.publish_snapshot(std::exchange(snapshot_to_load, {}));
        if (wants_snapshot)
            saved_snapshot = ctx.observers.collect_snapshot();
        wants_snapshot = false;
    }

    /// Commits all proposed entries; the next tick applies them.
    void commit_all()
    {
        for (auto& it : proposed)
            committed.push_back(std::move(it));
        proposed.clear();
    }

    bool leads = true;
    bool takes_the_lead = false; ///< The next tick tells the components that it leads.
    bool step_down = false;      ///< The next tick calls publish_following().
    term_id current_term{1};
    std::optional<instance_id> known_leader;
    log_index last_applied;
    std::vector<log_entry> proposed;
    std::deque<log_entry> committed;           ///< Applied by the next tick.
    std::vector<any_message> snapshot_to_load; ///< Loaded by the next tick unless empty.
    bool wants_snapshot = false;               ///< The next tick fills saved_snapshot.
    std::vector<any_message> saved_snapshot;
};

} // namespace mulberryrudder::control::testing

#endif
