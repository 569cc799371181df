#include "ledger_settings.hpp"

namespace mulberryrudder::control
{

kernel::section<ledger_settings> const ledger_section{
    "ledger",
    {
        kernel::field("leased_rate", &ledger_settings::leased_rate, {0, 1000},
                      "Thousandths of a customer's rate that go into slices; the rest is lent."),
        kernel::field("leased_burst", &ledger_settings::leased_burst, {0, 1000},
                      "Thousandths of a customer's burst that go into slices; the rest is lent."),
        kernel::field("clock_drift", &ledger_settings::clock_drift, {0, 100},
                      "Thousandths of the rate that are not given out, against clocks of the "
                      "entries that run too fast."),
        kernel::field("loan_time", &ledger_settings::loan_time, {10, 10'000},
                      "Milliseconds in which an entry may use a loan."),
        kernel::field("spill_share", &ledger_settings::spill_share, {0, 1000},
                      "Thousandths of a domain's free slots that other domains may fill."),
        kernel::field("crowded_below", &ledger_settings::crowded_below, {0, 1000},
                      "Thousandths of free slots below which a domain's entries get more "
                      "headroom elsewhere."),
        kernel::field("link_use", &ledger_settings::link_use, {1, INT64_MAX},
                      "Bytes per second that one running request is counted with against the "
                      "cap of a link."),
    }};

} // namespace mulberryrudder::control
