#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMS_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMS_SETTINGS_HPP

#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::entry
{

/// Settings of the claims; they must be equal on all entry instances.
struct claims_settings
{
    milliseconds window{600'000};
    milliseconds clock_skew{2'000};
    milliseconds view_bound{5'000};
    milliseconds member_hold{30'000};
    milliseconds timeout{500};
    milliseconds end_retry{10'000};
    byte_count reply_limit{16 * 1024};
    byte_count store_limit{16 * 1024 * 1024};
    std::int64_t record_limit = 100'000;

    /// Returns how long before a key's time nothing may have changed for a keeper
    /// to be sure of it: the caller's clock differs from that of the instance which
    /// saw the key first, that one from this instance's, views lag, and a claim
    /// takes time.
    span settling() const { return 2 * clock_skew + view_bound + timeout; }
};

extern kernel::section<claims_settings> const claims_section;

} // namespace mulberryrudder::entry

#endif
