#ifndef MULBERRYRUDDER_CORE_PLAN_SIZE_HPP
#define MULBERRYRUDDER_CORE_PLAN_SIZE_HPP

#include <mulberryrudder/core/traffic_plan.hpp>

namespace mulberryrudder
{

/// Returns about how many bytes a plan takes in memory. It depends on the contents alone, so all
/// instances compute the same value.
///
/// Thread safety: any thread.
byte_count memory_size(traffic_plan const& plan);

} // namespace mulberryrudder

#endif
