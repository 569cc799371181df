#ifndef MULBERRYRUDDER_TESTS_LEASE_FLEET_LEASE_FLEET_HPP
#define MULBERRYRUDDER_TESTS_LEASE_FLEET_LEASE_FLEET_HPP

#include "fake_replica.hpp"
#include "fake_stages.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/fleet_view.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace mulberryrudder::test
{

/// What a fleet for tests consists of.
struct fleet_options
{
    unsigned entries = 3;
    unsigned controls = 1;
    unsigned domains = 3;
    unsigned domains_per_region = 2;
    std::uint64_t seed = 1;
    milliseconds tick_period{20};
    milliseconds delay_least{1};
    milliseconds delay_most{20};
    unsigned lost_per_mille = 0;
    unsigned late_per_mille = 0; ///< Delayed by up to `late_most` instead.
    milliseconds late_most{6000};
    unsigned twice_per_mille = 0;
    bool skewed_clocks = false; ///< Clocks start apart and run apart by up to 500 ppm.
    kernel::settings settings = kernel::settings::defaults();
};

/// Runs entry and control decision cores on virtual time and carries their messages,
/// with the losses, delays and freezes that a test asks for. Control instances have
/// the numbers from 1, entries from 101.
class lease_fleet
{
public:
    explicit lease_fleet(fleet_options with);
    ~lease_fleet();

    /// An answered or refused request.
    struct ending
    {
        instant when;
        entry::outcome what;
    };

    /// Sees each message when it is sent; for sizes and counts.
    std::function<void(envelope const&)> on_message;

    instant now() const { return now_; }
    void run_for(span how_long);
    /// Runs until the condition holds at some tick, or the time is over; tells which.
    bool run_until(std::function<bool()> const& holds, span longest);

    /// Makes a control instance the only one that may act, in a new term.
    void elect(unsigned control);
    /// Lets no control instance act.
    void depose();
    /// Commits a configuration on all control instances.
    void commit(fleet_config config);
    /// A configuration with one keyed route `k`, one open route `o`, and customers.
    static fleet_config plain_config(std::uint64_t generation,
                                     std::map<std::string, std::pair<int, int>> const& rates);

    void cut(instance_id id) { cut_.insert(id); }
    void heal(instance_id id) { cut_.erase(id); }
    void freeze(instance_id id);
    void thaw(instance_id id);
    /// Ends an entry's process and starts it anew.
    void restart(unsigned entry);
    void kill(unsigned entry);
    void stop(unsigned entry);

    /// Sends a caller's request of a customer to an entry; returns its id.
    request_id request(unsigned entry, std::string const& customer, std::string const& route = "k",
                       span patience = seconds(1));

    /// Sends a request that the probe holds on to a target, also on a frozen instance.
    void release(unsigned entry, request_id id);

    entry::fleet_view const& view(unsigned entry) const;
    admission_probe& probe(unsigned entry) const;
    fake_replica& replica(unsigned control) const;
    control::core& control_core(unsigned control) const;
    entry::core& entry_core(unsigned entry) const;
    kernel::counter_set const& counters(instance_id id) const;
    /// An instance's own clock.
    instant local_now(instance_id id) const;
    std::map<request_id, ending> const& endings() const { return endings_; }
    /// Returns "answered", the refusal's name, or "unanswered".
    std::string outcome_of(request_id id) const;
    /// Gives an instance a message as if it had just arrived.
    void hand_over(envelope const& message) { deliver({now_, 0, message}); }
    /// Admissions on the clock of the test, in order, by customer.
    std::map<customer_id, std::vector<instant>> const& admissions() const { return admissions_; }

    static instance_id entry_id(unsigned entry) { return instance_id(101 + entry); }
    static instance_id control_id(unsigned control) { return instance_id(1 + control); }

private:
    struct node;
    struct delivery
    {
        instant when;
        std::uint64_t order;
        envelope message;
    };
    struct later
    {
        bool operator()(delivery const& a, delivery const& b) const
        {
            return std::pair(a.when, a.order) > std::pair(b.when, b.order);
        }
    };

    node& at(instance_id id) const;
    std::unique_ptr<node> make_entry(unsigned entry, std::uint64_t boot);
    std::unique_ptr<node> make_control(unsigned control);
    /// Goes on to the next message or tick, at most until `end`.
    void step(instant end);
    void confirm_leader();
    void tick(node& it);
    void deliver(delivery const& it);
    void handle(node& it, entry::input const& what);
    void carry(envelope const& message);
    void enqueue(envelope const& message);
    void take_effects(node& it);
    void note_admissions(node& it);
    bool chance(unsigned per_mille);

    fleet_options with_;
    random_source random_;
    instant now_{};
    std::uint64_t order_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t term_ = 0;
    std::optional<unsigned> leader_;
    std::map<instance_id, std::unique_ptr<node>> nodes_;
    std::priority_queue<delivery, std::vector<delivery>, later> queue_;
    using tick_time = std::pair<instant, instance_id>;
    std::priority_queue<tick_time, std::vector<tick_time>, std::greater<>> ticks_;
    std::set<instance_id> cut_;
    std::map<request_id, ending> endings_;
    std::map<customer_id, std::vector<instant>> admissions_;
    kernel::null_event_sink events_;
};

} // namespace mulberryrudder::test

#endif
