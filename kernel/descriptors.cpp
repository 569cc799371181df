#include <mulberryrudder/kernel/descriptors.hpp>

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace mulberryrudder::kernel
{

std::int64_t descriptor_limit()
{
    constexpr auto greatest = std::numeric_limits<std::int64_t>::max();
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return greatest;
    return static_cast<std::int64_t>(std::min<rlim_t>(limit.rlim_cur, greatest));
}

} // namespace mulberryrudder::kernel
