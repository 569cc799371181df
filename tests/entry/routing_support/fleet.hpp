#ifndef MULBERRYRUDDER_TESTS_ENTRY_ROUTING_SUPPORT_FLEET_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_ROUTING_SUPPORT_FLEET_HPP

#include "rig.hpp"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace mulberryrudder::entry
{

/// Several entry decision cores, fake targets, a fake leader that grants leases and a
/// fake network between them, on one virtual clock. A test schedules what happens.
class fleet
{
public:
    /// A fake target: it sheds beyond its slots, and its replies take `service`.
    struct target
    {
        announcement said;
        bool up = true;
        std::function<span(send_attempt const&)> service;
        std::int64_t running = 0;
        std::int64_t peak = 0;
    };

    struct options
    {
        std::uint64_t seed = 1;
        std::shared_ptr<fleet_config const> config = config_with();
        kernel::settings settings = kernel::settings::defaults();
        int lost_per_mille = 0;    ///< Messages that never arrive.
        span most_delay = span(0); ///< Added to messages at random.
    };

    explicit fleet(options with);

    /// Adds an entry instance and starts it.
    void add_entry(instance_description const& where);

    /// Adds a target that announces itself each 500 ms to an entry of its domain.
    target& add_target(announcement const& said, std::function<span(send_attempt const&)> service);

    /// Does something at a time.
    void at(instant when, std::function<void()> what);

    /// Runs until `end`; calls `watch` each 50 ms.
    void run_until(
        instant end, std::function<void()> const& watch = [] {});

    instant now() const { return now_; }

    /// Sends a request for route `r` to an entry; `done` is told its outcome.
    void ask(instance_id who, span time_left, std::string const& customer, call_method method,
             std::function<void(outcome const&)> done, std::string path = "/");

    void crash(instance_id who);
    void restart(instance_id who);
    void freeze(instance_id who, span how_long);
    /// Cuts an instance off from the leader, or from the other instances, or heals it.
    void cut_control(instance_id who, bool cut);
    void cut_peers(instance_id who, bool cut);
    bool is_up(instance_id who) const { return entries_.at(who).core != nullptr; }

    rig* core_of(instance_id who) { return entries_.at(who).core.get(); }
    std::map<target_id, target>& targets() { return targets_; }

    /// Returns the slots of a target that lease holders may use, summed.
    std::int64_t granted_slots(target_id const& id);

    /// Tells how much headroom the leader grants to an instance.
    std::function<std::vector<messages::headroom_grant>(instance_description const&)> headroom;

    std::uint64_t sheds = 0; ///< Requests that targets declined.

private:
    struct node
    {
        instance_description where;
        std::unique_ptr<rig> core;
        instant frozen_until;
        instant leased_until;   ///< As the leader counts it.
        instant believed_until; ///< As the instance counts it.
        bool control_cut = false;
        bool peers_cut = false;
        std::map<request_id, std::function<void(outcome const&)>> asked;
    };
    /// An attempt that runs on a fake target.
    struct running_attempt
    {
        instance_id from;
        target_id on;
    };

    void with_core(instance_id who, std::function<void(rig&)> const& what);
    void carry_out(node& from);
    void carry_out(node& from, send_attempt const& it);
    void carry_out(node& from, cancel_attempt const& it);
    void carry_out(node& from, probe_target const& it);
    void carry_out(node& from, send_message const& it);
    void carry_out(node& from, answer_caller const& it);
    template <class T>
    void carry_out(node&, T const&)
    {
    }
    void end_attempt(attempt_id id, bool replied);
    void renew(instance_id who);
    void tick(instance_id who);
    void announce(target_id const& id);
    span delay_between(node const& a, node const& b);
    std::unique_ptr<rig> make_core(instance_description const& where);

    options with_;
    std::mt19937_64 random_;
    instant now_{seconds(1000)};
    std::multimap<instant, std::function<void()>> agenda_;
    std::map<instance_id, node> entries_;
    std::map<target_id, target> targets_;
    std::map<attempt_id, running_attempt> running_;
    std::uint64_t requests_ = 0;
};

} // namespace mulberryrudder::entry

#endif
