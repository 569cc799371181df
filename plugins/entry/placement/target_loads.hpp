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

/// Estimates how busy each target is, from what this instance has running there and
/// what targets report with their replies, and keeps requests off targets that fail.
///
/// Thread safety: one owner.
class target_loads
{
public:
    void started(target_id const& id);

    /// Takes an attempt's end in. `judged` is false if it says nothing of the target,
    /// such as when the caller left.
    void ended(target_id const& id, attempt_end const& how, bool judged, slots capacity,
               instant started, instant now);

    /// Tells how many entry instances send to the same targets, this one included.
    void set_senders(double count) { senders_ = count; }

    /// Returns the requests that run or wait there, as far as is known. Without a fresh
    /// report other instances are taken to send as much as this one.
    double busy(target_id const& id, instant now) const;

    /// Returns whether the target cannot be reached now, as far as is known. What was
    /// heard of it later than its last failure clears a doubt about where it is.
    bool is_lost(target_id const& id, instant learned, instant now) const;

    /// Returns whether the target answers badly or not at all, so that others are to be
    /// preferred while there are enough of them.
    bool is_doubted(target_id const& id, instant now) const;

    void forget(target_id const& id) { rows_.erase(id); }

private:
    struct row
    {
        std::int64_t own = 0;    ///< Attempts that run.
        std::int64_t others = 0; ///< Of other instances, at the last report.
        instant reported;
        int failures = 0; ///< In a row without a reply.
        double bad = 0;   ///< Moving average of bad replies, 0 to 1.
        int replies = 0;  ///< That the average is made of.
        instant lost_until;
        instant doubted_until;
        instant replied;     ///< When a reply came last.
        int silences = 0;    ///< Attempts without any reply since then.
        instant misdirected; ///< When another target answered at the address.
    };

    static void note_failure(row& it, instant now);
    static void note_silence(row& it, bool answers, instant now);
    static void note_quality(row& it, bool bad, instant now);

    std::map<target_id, row> rows_;
    double senders_ = 1;
};

} // namespace mulberryrudder::entry

#endif
