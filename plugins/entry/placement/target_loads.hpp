#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_TARGET_LOADS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_TARGET_LOADS_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <map>
#include <optional>

namespace mulberryrudder::entry
{

/// Estimates the load of each target from the attempts of this instance and the load reports
/// in replies, and ejects targets that fail (passive health checks, outlier ejection).
///
/// Thread safety: one owner.
class target_loads
{
public:
    /// Records that an attempt was sent.
    void started(target_id const& id);

    /// Records an attempt's end. `counts_for_health` is false if it does not depend on the target,
    /// such as when the caller closed its connection. `capacity` is the target's number of slots.
    void ended(target_id const& id, attempt_end const& result, bool counts_for_health,
               slots capacity, instant started, instant now);

    /// Sets the number of entry instances that send to the same targets, this one included.
    void set_instance_count(double count) { instance_count_ = count; }

    /// Returns the estimated number of requests that run or wait on the target. Without a
    /// recent report, it assumes that other instances send as much as this one.
    double busy(target_id const& id, instant now) const;

    /// Returns whether the target is assumed unreachable: its connections failed lately, or
    /// another target answered at its address and no newer notice of it arrived since.
    /// `notice_received` is the time at which the newest notice arrived.
    bool is_unreachable(target_id const& id, instant notice_received, instant now) const;

    /// Returns whether the target is ejected because too many of its replies are errors or
    /// its attempts time out. Callers still use it if too few other targets are left.
    bool is_ejected(target_id const& id, instant now) const;

    /// Removes the state of a target.
    void remove(target_id const& id) { targets_.erase(id); }

private:
    struct load_state
    {
        std::int64_t own = 0;           ///< Running attempts of this instance.
        std::int64_t reported_busy = 0; ///< Requests of other instances at the last report.
        instant reported;               ///< Time of the last load report.
        int failures = 0;               ///< Connection failures since the last reply.
        double failure_rate = 0;        ///< Moving average of failed replies, 0 to 1.
        int replies = 0;                ///< Replies in that average.
        instant unreachable_until;
        instant ejected_until;
        instant replied;     ///< Time of the last reply.
        int timeouts = 0;    ///< Attempts that timed out since then.
        instant misdirected; ///< Time at which another target answered at the address.
    };

    static void record_connection_failure(load_state& target, instant now);
    static void record_timeout(load_state& target, bool replied_since_start, instant now);
    static void record_outcome(load_state& target, bool failed, instant now);

    std::map<target_id, load_state> targets_;
    double instance_count_ = 1;
};

} // namespace mulberryrudder::entry

#endif
