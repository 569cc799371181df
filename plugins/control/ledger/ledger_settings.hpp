#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_LEDGER_SETTINGS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_LEDGER_SETTINGS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

namespace mulberryrudder::control
{

/// Settings of the ledger; the same on each control instance.
struct ledger_settings
{
    per_mille leased_rate{800};
    per_mille leased_burst{400};
    per_mille clock_drift{1};
    milliseconds loan_time{400};
    per_mille spill_share{800};
    per_mille crowded_below{200};
    bytes_per_second link_use{1'000'000};
};

extern kernel::section<ledger_settings> const ledger_section;

/// Returns a share of a quantity, rounded down.
template <class Quantity>
Quantity part_of(Quantity whole, per_mille share)
{
    return Quantity(whole.count() * share.count() / whole_share.count());
}

} // namespace mulberryrudder::control

#endif
