#ifndef MULBERRYRUDDER_FLEET_STEERING_DIFFERENCE_HPP
#define MULBERRYRUDDER_FLEET_STEERING_DIFFERENCE_HPP

#include <mulberryrudder/messages/steering_difference.hpp>

namespace mulberryrudder::fleet
{

/// Returns how `newer` differs from `base`.
/// Precondition: both have a plan.
///
/// Thread safety: any thread.
messages::steering_difference difference(steering_state const& base, steering_state const& newer);

/// Returns `base` changed by `by`; a new plan has no source. Returns nothing if `by` refers to
/// elements that `base` does not have.
/// Precondition: `by.base` is the generation of `base`, which has a plan.
///
/// Thread safety: any thread.
std::optional<steering_state> changed(steering_state const& base,
                                      messages::steering_difference const& by);

} // namespace mulberryrudder::fleet

#endif
