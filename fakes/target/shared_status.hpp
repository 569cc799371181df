#ifndef MULBERRYRUDDER_FAKES_TARGET_SHARED_STATUS_HPP
#define MULBERRYRUDDER_FAKES_TARGET_SHARED_STATUS_HPP

#include "fake_target.hpp"

namespace mulberryrudder::fakes
{

/// Returns the status of target `number` of a group; the same one for each call.
/// The duties take their references before they run.
target_status& status_of(target_group const& group, std::uint32_t number);

} // namespace mulberryrudder::fakes

#endif
