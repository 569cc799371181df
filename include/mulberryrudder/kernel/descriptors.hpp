#ifndef MULBERRYRUDDER_KERNEL_DESCRIPTORS_HPP
#define MULBERRYRUDDER_KERNEL_DESCRIPTORS_HPP

#include <cstdint>

namespace mulberryrudder::kernel
{

/// Returns how many descriptors this process may have open (RLIMIT_NOFILE); the greatest number
/// if the limit is not known.
///
/// Thread safety: any thread.
std::int64_t descriptor_limit();

} // namespace mulberryrudder::kernel

#endif
