#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_LISTED_TARGETS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_LISTED_TARGETS_HPP

#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/messages/target_summary.hpp>

#include <vector>

namespace mulberryrudder::entry
{

/// Keeps the targets that control reported. Notices of a target can arrive from several
/// control instances, late and repeatedly; the newest one is kept.
///
/// Thread safety: one owner.
class listed_targets
{
public:
    /// Applies notices; returns those that changed more than the time of a target's last
    /// announcement.
    std::vector<messages::target_notice> update(std::vector<messages::target_notice> const& notices,
                                                instant now);

    /// Records that a target said in an answer that it leaves. From then on this start of it counts
    /// as leaving whatever notices say, since a notice may be older than the answer. Returns the
    /// target's notice if it counted as serving before, else null. The pointer holds until the
    /// next change of the list.
    messages::target_notice const* mark_leaving(target_id const& id);

    /// Returns the targets that are not gone.
    std::map<target_id, listed_target> const& all() const { return listed_; }

    /// Returns a summary of the listed targets, for comparison with another instance's list.
    messages::target_summary summary(instant now) const;

private:
    bool update_target(messages::target_notice const& notice, instant now);

    std::map<target_id, listed_target> listed_;
    /// Newest notices of targets that are gone, so that an older notice of another control
    /// instance does not list them again.
    std::map<target_id, messages::target_notice> gone_;
    /// Starts of targets that said in an answer that they leave.
    std::map<target_id, start_id> leaving_starts_;
};

} // namespace mulberryrudder::entry

#endif
