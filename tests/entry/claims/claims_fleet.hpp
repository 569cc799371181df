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

/// Shows an instance a time of day that differs from virtual time by `offset`.
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

/// How the network and the targets of a fleet behave.
struct fleet_faults
{
    double lost = 0;       ///< Part of the messages that never arrive.
    double duplicated = 0; ///< Part of the messages that arrive twice.
    span most_delay = milliseconds(20);
    double attempt_fails = 0; ///< Part of the attempts that end without a reply.
    span most_run = milliseconds(200);
};

/// Several entry instances with a fake lease, network and targets on virtual
/// time, and a ledger of what really ran.
class claims_fleet
{
public:
    /// Makes `count` instances, two failure domains a region.
    claims_fleet(std::uint64_t seed, std::size_t count, fleet_faults faults);

    /// Sends a request with an Idempotency-Key to an instance; returns its number.
    request_id send(std::size_t to, std::string const& key, std::string const& body = "x",
                    span patience = milliseconds(1500));

    /// Makes an Idempotency-Key with the caller's time, which is off by `offset`.
    std::string make_key(milliseconds offset = {});

    /// Lets time pass, with all that happens meanwhile.
    void run_for(span time);

    /// The process ends; it comes back after `pause` without its memory.
    void restart(std::size_t which, span pause);

    /// Cuts an instance off from all others for a time.
    void cut(std::size_t which, span time);

    /// Takes an instance out of the membership, or back in.
    void set_member(std::size_t which, bool is_member);

    /// Returns what the caller was told; empty if nothing yet.
    std::string answer_to(request_id id) const;

    /// Returns which instances keep a key.
    std::vector<std::size_t> keepers_of_key(std::string const& key) const;

    /// Returns how often the requests of a key ran.
    int runs(std::string const& key) const;
    std::size_t keys_run() const { return runs_.size(); }
    std::size_t replies() const { return replies_; }

    /// Returns what the ledger finds wrong: a key that ran twice, a request that was
    /// refused as not run and ran, a reply of another key; empty if nothing is.
    std::string faults_found() const;

    random_source random;

private:
    struct instance
    {
        std::unique_ptr<entry_bench> bench; ///< Null while the process is down.
        instant cut_until{};
        std::uint64_t boots = 0;
        milliseconds clock_offset{};
        bool is_member = true;
    };
    struct sent_request
    {
        std::string key;
        std::string told;
        bool ran = false;
    };

    void start(std::size_t which);
    void renew(std::size_t which);
    void give(std::size_t which, input const& what);
    void perform(std::size_t which, effects const& todo);
    void deliver(envelope const& it, std::size_t from);
    void attempt_at_target(std::size_t which, send_attempt const& it);
    void note_answer(answer_caller const& it);
    void at(instant when, std::function<void()> what);
    bool happens(double chance);
    span delay(span most);
    std::vector<messages::member> members() const;
    static instance_description describe(std::size_t which);
    bool is_cut(std::size_t which) const { return now_ < instances_[which].cut_until; }

    fleet_faults faults_;
    instant now_{seconds(1'000'000)};
    std::vector<instance> instances_;
    std::multimap<instant, std::function<void()>> agenda_;
    std::map<request_id, sent_request> requests_;
    std::map<std::string, int> runs_;
    std::string wrong_;
    std::size_t replies_ = 0;
};

} // namespace mulberryrudder::entry

#endif
