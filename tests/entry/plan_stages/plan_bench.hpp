#ifndef MULBERRYRUDDER_TESTS_ENTRY_PLAN_STAGES_PLAN_BENCH_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_PLAN_STAGES_PLAN_BENCH_HPP

#include "sample_plan.hpp"

#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/plan_view.hpp>

#include <string>

namespace mulberryrudder::entry::testing
{

/// Replaces the roster stage with a plan and targets that the test sets.
class fake_plan final : public stage, public plan_view
{
public:
    explicit fake_plan(stage_parts const& parts)
    {
        parts.services.provide<plan_view>(*this);
        parts.services.provide<fake_plan>(*this);
    }

    shared_steering const& steering() const override { return current; }
    std::optional<span> plan_age(instant) const override { return span(0); }
    bool is_plan_outdated(instant) const override { return is_outdated; }
    std::map<target_id, listed_target> const& targets() const override { return target_list; }
    std::optional<instance_id> control() const override { return current_control; }
    std::int64_t entries() const override { return entry_count; }
    std::int64_t entries_in_domain() const override { return domain_entry_count; }
    bool knows_entries() const override { return entries_known; }

    shared_steering current;
    bool is_outdated = false;
    std::map<target_id, listed_target> target_list;
    std::optional<instance_id> current_control;
    bool entries_known = true;
    std::int64_t entry_count = 1;
    std::int64_t domain_entry_count = 1;
};

/// What the front end tells of a request beside its content.
struct origin
{
    std::optional<connection_id> connection = std::nullopt;
    std::optional<instant> first_byte = std::nullopt;
};

/// Test fixture: one decision core with a fake plan and a simulated clock.
class plan_bench
{
public:
    /// The instance is in domain `m-a` of region `m`. Domain `m-b` is in the same region,
    /// `e-a` is in region `e`.
    explicit plan_bench(kernel::settings config = kernel::settings::defaults());

    fake_plan& plan() { return *core_.services().find<fake_plan>(); }
    core& decisions() { return core_; }

    /// Replaces the plan.
    void set_plan(traffic_plan plan_content);
    /// Replaces the steering state; its generation is incremented.
    void set_steering(steering_state state);
    /// Adds a serving target of service `desk`.
    listed_target& add_target(std::string const& id, std::string const& domain,
                              std::int64_t capacity = 9);

    /// Sends a request; returns its id.
    request_id send_request(std::string const& path, std::string const& object = {},
                            std::string const& key = {}, origin const& from = {});
    /// Ends the newest attempt of a request with a reply.
    void reply(request_id id, std::uint16_t status = 200);
    /// Ends the newest attempt of a request with a failure.
    void fail(request_id id, attempt_failure cause, verdict run);
    /// Ends the newest attempt of a request: the target turns it away and asks for a pause.
    void turn_away(request_id id, milliseconds pause);
    /// Closes the connection of a request's caller.
    void disconnect_caller(request_id id);
    /// Advances the clock and runs a tick.
    void advance(span duration);

    /// Returns the target of a request's newest attempt; empty if there is none.
    std::string target_of(request_id id) const;
    /// Returns the name of a request's refusal, `answered`, or an empty string if it is open.
    std::string outcome_of(request_id id) const;
    /// Returns the refusal of a request. Precondition: it was refused.
    refused const& refusal(request_id id) const;
    std::size_t attempts_of(request_id id) const;

    kernel::counter_set counters;
    instant now{seconds(1000)};

private:
    void collect();

    kernel::settings config_;
    kernel::null_event_sink events_;
    core core_;
    effects effects_;
    std::uint64_t last_id_ = 0;
    std::map<request_id, std::vector<send_attempt>> sent_;
    std::map<request_id, outcome> ended_;
};

} // namespace mulberryrudder::entry::testing

#endif
