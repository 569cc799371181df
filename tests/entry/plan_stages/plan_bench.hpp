#ifndef MULBERRYRUDDER_TESTS_ENTRY_PLAN_STAGES_PLAN_BENCH_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_PLAN_STAGES_PLAN_BENCH_HPP

#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/plan_view.hpp>

#include <string>

namespace mulberryrudder::entry::testing
{

/// Stands for the roster stage: the test says what control told.
class fake_plan final : public stage, public plan_view
{
public:
    explicit fake_plan(stage_parts const& parts)
    {
        parts.services.provide<plan_view>(*this);
        parts.services.provide<fake_plan>(*this);
    }

    shared_steering const& steering() const override { return held; }
    std::map<target_id, listed_target> const& targets() const override { return listed; }
    std::int64_t entries() const override { return all; }
    std::int64_t entries_in_domain() const override { return near; }
    per_mille share_of(customer_id const&) const override { return share; }
    millitokens_per_second fleet_demand(customer_id const&) const override { return demand; }

    shared_steering held;
    std::map<target_id, listed_target> listed;
    std::int64_t all = 1;
    std::int64_t near = 1;
    per_mille share = whole_share;
    millitokens_per_second demand;
};

/// Returns a plan with one service `desk`, an open safe route `/read/`, an open unsafe
/// route `/write/` (both sticky, 1200 ms) and a keyed route `/keyed/` of customer
/// `office`, whose key is `key`, with 10 requests a second and a burst of 5.
traffic_plan sample_plan();

/// One decision core over a fake plan, with a clock of its own.
class plan_bench
{
public:
    /// The instance stands in domain `m-a` of region `m`; `m-b` is there too, `e-a` is
    /// in region `e`.
    explicit plan_bench(kernel::settings with = kernel::settings::defaults());

    fake_plan& plan() { return *core_.services().find<fake_plan>(); }
    core& decisions() { return core_; }

    /// Puts a plan in force.
    void put(traffic_plan it);
    /// Changes the steering state that is in force.
    void steer(steering_state it);
    /// Adds a serving target of `desk`.
    listed_target& add(std::string const& id, std::string const& domain, std::int64_t capacity = 9);

    /// Sends a request; returns its id.
    request_id ask(std::string const& path, std::string const& object = {},
                   std::string const& key = {});
    /// Ends the newest attempt of a request with a reply.
    void reply(request_id id, std::uint16_t status = 200);
    /// Ends the newest attempt of a request without one.
    void fail(request_id id, attempt_failure cause, verdict run);
    /// The caller of a request closes its connection.
    void leave(request_id id);
    void pass(span time);

    /// Returns the target of a request's newest attempt; empty if there is none.
    std::string target_of(request_id id) const;
    /// Returns the reason of a request's refusal, `answered`, or nothing.
    std::string told(request_id id) const;
    /// Returns the refusal of a request.
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
    std::uint64_t last_ = 0;
    std::map<request_id, std::vector<send_attempt>> sent_;
    std::map<request_id, outcome> ended_;
};

} // namespace mulberryrudder::entry::testing

#endif
