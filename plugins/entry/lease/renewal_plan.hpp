#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_RENEWAL_PLAN_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_RENEWAL_PLAN_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/core/time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace mulberryrudder::entry
{

/// Decides when to renew the lease, and which control instance to ask. All waits
/// are jittered, so that instances that were cut off together do not come back
/// in step; the waits grow up to a bound while no answer comes.
///
/// Thread safety: one owner.
class renewal_plan
{
public:
    struct options
    {
        std::vector<instance_id> control; ///< Not empty.
        milliseconds period;              ///< Between renewals that are answered.
        milliseconds retry_first;         ///< Wait for an answer before the next try.
        milliseconds retry_most;          ///< The wait grows up to this.
    };

    explicit renewal_plan(options with) : with_(std::move(with)) {}

    /// Returns whom to ask: the believed leader.
    instance_id whom() const { return leader_; }

    bool due(instant now) const { return now >= next_; }

    /// Sets the first renewal, some random part of a retry wait from now.
    void start(instant now, random_source& random);

    /// Turns to the next control instance if the last renewal was not answered.
    void turn_if_unanswered();

    /// A renewal was sent.
    void sent(instant now, random_source& random);

    /// The believed leader granted.
    void answered(instance_id by, random_source& random);

    /// The asked instance does not lead; `leader` is its hint.
    void redirected(std::optional<instance_id> leader, instant now, random_source& random);

    /// Asks for a renewal at the next tick.
    void hasten(instant now) { next_ = now; }

private:
    span jittered(span longest, random_source& random) const;
    span retry_wait() const;
    void turn();

    options with_;
    instance_id leader_ = with_.control.front();
    std::size_t position_ = 0;
    instant next_;
    instant last_sent_;
    bool awaiting_ = false;
    unsigned failures_ = 0;
    bool followed_hint_ = false; ///< Since the last grant or wait.
};

} // namespace mulberryrudder::entry

#endif
