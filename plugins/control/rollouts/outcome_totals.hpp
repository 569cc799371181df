#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROLLOUTS_OUTCOME_TOTALS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROLLOUTS_OUTCOME_TOTALS_HPP

#include "rollout_comparison.hpp"

#include <mulberryrudder/messages/roster_notices.hpp>

#include <map>
#include <tuple>
#include <vector>

namespace mulberryrudder::control
{

/// Sums the outcomes of the versions in one rollout over all starts of all entries. Entries
/// report totals, so a notice may be applied repeatedly and in any order.
///
/// Thread safety: one owner.
class outcome_totals
{
public:
    /// Applies an entry's outcomes in the rollout of `service` to the version `rollout`.
    void update(messages::entry_notice const& notice, service_id const& service,
                version_id const& rollout);

    outcome_counts of(version_id const& version) const;

private:
    using entry_start = std::tuple<version_id, instance_id, boot_id>;

    std::map<entry_start, outcome_counts> newest_;
};

} // namespace mulberryrudder::control

#endif
