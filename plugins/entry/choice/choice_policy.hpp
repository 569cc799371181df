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

/// Targets with a free slot that a policy selects from; not empty.
using candidates = std::vector<target_view const*>;

/// Selects one of several usable targets.
///
/// Thread safety: one owner.
class choice_policy
{
public:
    virtual ~choice_policy() = default;

    /// Returns the target for the next request.
    virtual target_view const& pick(candidates const& targets, random_source& random) = 0;
};

/// Returns the policy of that name, or null: `least_expected_latency`,
/// `two_choices`, `least_running` or `round_robin`.
std::unique_ptr<choice_policy> make_choice_policy(std::string_view name);

/// Returns the expected latency of a new request on a target, in microseconds: the
/// peak-sensitive average latency times 1 plus the utilization of this instance's share of the
/// target. For a target without replies, `default_latency` replaces the average, and the
/// load that the target reports counts if it exceeds that utilization.
double expected_latency(target_view const& target, microseconds default_latency);

} // namespace mulberryrudder::entry

#endif
