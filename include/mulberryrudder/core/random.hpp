#ifndef MULBERRYRUDDER_CORE_RANDOM_HPP
#define MULBERRYRUDDER_CORE_RANDOM_HPP

#include <random>

namespace mulberryrudder
{

/// The injected source of random numbers; tests seed it, programs seed it from
/// the operating system. Thread safety: one owner.
using random_source = std::mt19937_64;

} // namespace mulberryrudder

#endif
