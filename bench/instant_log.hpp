#ifndef MULBERRYRUDDER_BENCH_INSTANT_LOG_HPP
#define MULBERRYRUDDER_BENCH_INSTANT_LOG_HPP

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <deque>

namespace mulberryrudder::bench
{

/// Stands for the replicated log: commits a command in the next tick, and leads
/// or not as it is told.
class instant_log final : public control::component, public control::replicated_log
{
public:
    explicit instant_log(control::component_parts const& parts);

    bool may_act(instant) const override { return leads_; }
    instant confirmed_until() const override { return leads_ ? never : instant{}; }
    term_id term() const override { return term_id(1); }
    std::optional<instance_id> leader() const override { return instance_id(1); }
    log_index applied_index() const override { return log_index(applied_); }
    std::optional<log_index> propose(any_message command) override;

    void tick(control::context& with) override;

    bool wants_to_lead = true;   ///< Takes effect in the next tick.
    bool loses_commands = false; ///< Proposed commands are never committed.

private:
    bool leads_ = false;
    std::uint64_t applied_ = 0;
    std::deque<any_message> waiting_;
};

} // namespace mulberryrudder::bench

#endif
