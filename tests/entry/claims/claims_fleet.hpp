#ifndef MULBERRYRUDDER_TESTS_ENTRY_CLAIMS_CLAIMS_FLEET_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_CLAIMS_CLAIMS_FLEET_HPP

#include "tests/entry/support/entry_bench.hpp"

#include <mulberryrudder/core/wall_clock.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace mulberryrudder::entry
{

/// Wall clock that differs from virtual time by `offset`.
class fake_wall_clock final : public stage, public wall_clock
{
public:
    explicit fake_wall_clock(stage_parts const& parts)
    {
        parts.services.provide<wall_clock>(*this);
        parts.services.provide<fake_wall_clock>(*this);
    }

    milliseconds since_epoch() const override
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + offset;
    }

    instant now;
    milliseconds offset{};
};

/// Faults of the network and the targets. Probabilities are in the range 0 to 1.
struct fleet_faults
{
    double message_loss = 0;
    double message_duplication = 0;
    span max_delay = milliseconds(20); ///< Of a message.
    double attempt_failure = 0;        ///< Probability that an attempt ends without a reply.
    span max_run_time = milliseconds(200);
};

/// Simulates several entry instances with a fake lease, network and targets on virtual
/// time, and records which requests the targets ran.
///
/// Thread safety: one owner.
class claims_fleet
{
public:
    /// Starts `count` instances, each in its own failure domain, two domains per region.
    claims_fleet(std::uint64_t seed, std::size_t count, fleet_faults faults);

    /// Sends a request with an Idempotency-Key to an instance; returns its id.
    request_id send(std::size_t index, std::string const& key, std::string const& body = "x",
                    span timeout = milliseconds(1500));

    /// Returns a new Idempotency-Key whose creation time is virtual time plus `offset`.
    std::string make_key(milliseconds offset = {});

    /// Advances virtual time and processes all events that fall due.
    void run_for(span elapsed);

    /// Stops a process and starts it again, with empty state, after `pause`.
    void restart(std::size_t index, span pause);

    /// Isolates an instance from all others and from its lease.
    void isolate(std::size_t index, span duration);

    /// Adds an instance to the membership or removes it.
    void set_member(std::size_t index, bool is_member);

    /// Returns `answered`, or the name and verdict of the refusal; empty if there is no
    /// answer yet.
    std::string answer_to(request_id id) const;

    /// Returns the indexes of a key's keepers.
    std::vector<std::size_t> keepers_of_key(std::string const& key) const;

    /// Returns how many times the requests of a key ran.
    int runs(std::string const& key) const;
    std::size_t keys_run() const { return runs_.size(); }
    std::size_t replies() const { return replies_; }

    /// Returns the violated invariants: a key that ran twice, a request that ran but was
    /// refused as not run, a reply of another key; empty if there are none.
    std::string violations() const;

    random_source random;

private:
    struct instance
    {
        std::unique_ptr<entry_bench> bench; ///< Null while the process is stopped.
        instant isolated_until{};
        std::uint64_t boots = 0;
        milliseconds clock_offset{};
        bool is_member = true;
    };
    struct sent_request
    {
        std::string key;
        std::string answer;
        bool ran = false;
    };

    void start(std::size_t index);
    void renew(std::size_t index);
    void process(std::size_t index, input const& event);
    void apply_effects(std::size_t index, effects const& produced);
    void deliver(envelope const& message, std::size_t sender);
    void attempt_at_target(std::size_t index, send_attempt const& sent);
    void record_answer(answer_caller const& answer);
    void schedule(instant time, std::function<void()> action);
    /// Returns true with the given probability.
    bool draw(double probability);
    /// Returns a uniformly distributed time of at most `max`.
    span random_span(span max);
    std::vector<messages::member> members() const;
    static instance_description describe(std::size_t index);
    bool is_isolated(std::size_t index) const { return now_ < instances_[index].isolated_until; }

    fleet_faults faults_;
    instant now_{seconds(1'000'000)};
    std::vector<instance> instances_;
    std::multimap<instant, std::function<void()>> events_;
    std::map<request_id, sent_request> requests_;
    std::map<std::string, int> runs_;
    std::string violations_;
    std::size_t replies_ = 0;
};

} // namespace mulberryrudder::entry

#endif
