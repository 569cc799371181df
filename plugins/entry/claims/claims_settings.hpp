#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMS_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMS_SETTINGS_HPP

#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::entry
{

/// Settings of the claims. All entry instances must have the same values.
struct claims_settings
{
    milliseconds window{600'000};
    milliseconds clock_skew{2'000};
    milliseconds view_bound{5'000};
    milliseconds member_hold{30'000};
    milliseconds timeout{500};
    milliseconds end_retry{10'000};
    byte_count reply_limit{16L * 1024L};
    byte_count store_limit{16L * 1024L * 1024L};
    std::int64_t record_limit = 100'000;

    /// Returns for how long before a key's creation time the keepers must have been
    /// unchanged so that a keeper can rule out an earlier grant. It covers the skew
    /// between the clocks of the caller and the first instance that received the key,
    /// the skew between that instance and this one, the delay until a membership is in
    /// force everywhere, and the duration of a claim.
    span settling_time() const { return 2 * clock_skew + view_bound + timeout; }
};

extern kernel::section<claims_settings> const claims_section;

} // namespace mulberryrudder::entry

#endif
