#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_TIMED_KEY_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_TIMED_KEY_HPP

#include <mulberryrudder/core/time.hpp>

#include <optional>
#include <string_view>

namespace mulberryrudder::entry
{

/// Returns the creation time of an Idempotency-Key, as time since 1970-01-01T00:00:00Z;
/// nothing unless the key is a UUID of version 7 (RFC 9562, section 5.7).
std::optional<milliseconds> time_of_key(std::string_view key);

} // namespace mulberryrudder::entry

#endif
