#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_LISTED_TARGETS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_LISTED_TARGETS_HPP

#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/messages/target_summary.hpp>

#include <vector>

namespace mulberryrudder::entry
{

/// Keeps the targets that control told of. Notices come from several control
/// instances, late and more than once; the newest of each target holds.
///
/// Thread safety: one owner.
class listed_targets
{
public:
    /// Takes notices in; returns those that changed more than the time of a target's word.
    std::vector<messages::target_notice> take(std::vector<messages::target_notice> const& told,
                                              instant now);

    std::map<target_id, listed_target> const& all() const { return listed_; }

    /// Sums up what is listed, for an instance that may know more or less.
    messages::target_summary summary(instant now) const;

private:
    bool take_one(messages::target_notice const& it, instant now);

    std::map<target_id, listed_target> listed_;
    /// Newest start and sequence of targets that are gone, so that an older notice of
    /// another control instance does not bring them back.
    std::map<target_id, messages::target_notice> gone_;
};

} // namespace mulberryrudder::entry

#endif
