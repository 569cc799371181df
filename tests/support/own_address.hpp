#ifndef MULBERRYRUDDER_TESTS_SUPPORT_OWN_ADDRESS_HPP
#define MULBERRYRUDDER_TESTS_SUPPORT_OWN_ADDRESS_HPP

#include <string>
#include <unistd.h>

namespace mulberryrudder::testing
{

/// Returns an address in 127.64.0.0/10 that no other running process returns, so that tests with
/// constant ports can run at the same time.
///
/// Thread safety: any thread.
inline std::string own_loopback_address()
{
    auto const id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (id >> 16) % 64) + "." + std::to_string((id >> 8) % 256) +
           "." + std::to_string(id % 256);
}

} // namespace mulberryrudder::testing

#endif
