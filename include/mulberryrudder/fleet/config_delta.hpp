#ifndef MULBERRYRUDDER_FLEET_CONFIG_DELTA_HPP
#define MULBERRYRUDDER_FLEET_CONFIG_DELTA_HPP

#include <mulberryrudder/messages/lease.hpp>

namespace mulberryrudder::fleet
{

/// Returns what leads from `base` to `newer`.
///
/// Thread safety: any thread.
messages::config_delta difference(fleet_config const& base, fleet_config const& newer);

/// Returns `base` changed by `by`.
/// Precondition: `by.base` is the generation of `base`.
///
/// Thread safety: any thread.
fleet_config changed(fleet_config const& base, messages::config_delta const& by);

} // namespace mulberryrudder::fleet

#endif
