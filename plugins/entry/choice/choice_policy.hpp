#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CHOICE_CHOICE_POLICY_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CHOICE_CHOICE_POLICY_HPP

#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/entry/target_directory.hpp>

#include <mulberryrudder/kernel/settings.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::entry
{

/// The `choice` section of the settings.
struct choice_settings
{
    std::string policy = "least_expected_latency";
};

extern kernel::section<choice_settings> const choice_section;

/// Targets with a free slot, among which a policy picks; not empty.
using candidates = std::vector<target_view const*>;

/// Picks one of several usable targets.
///
/// Thread safety: one owner.
class choice_policy
{
public:
    virtual ~choice_policy() = default;
    virtual target_view const& pick(candidates const& among, random_source& random) = 0;
};

/// Returns the policy of that name, or null: `least_expected_latency`,
/// `two_choices`, `least_running` or `round_robin`.
std::unique_ptr<choice_policy> make_choice_policy(std::string_view name);

/// Returns how long a new request is expected to take on a target, in microseconds:
/// the peak-sensitive average times the requests it would be one of, each weighed by
/// this instance's part of the target. `unmeasured` stands in for a target without
/// replies; only there does the load that the target reports count.
double expected_latency(target_view const& it, microseconds unmeasured);

} // namespace mulberryrudder::entry

#endif
