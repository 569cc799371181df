#include "quarantine_settings.hpp"

namespace mulberryrudder::entry
{

kernel::section<quarantine_settings> const quarantine_section{
    "quarantine",
    {
        kernel::field("time", &quarantine_settings::time, {1'000, 86'400'000},
                      "Milliseconds for which a request is refused after two deaths."),
        kernel::field("suspect_time", &quarantine_settings::suspect_time, {1'000, 3'600'000},
                      "Milliseconds for which a request runs only alone after one death."),
        kernel::field("permit_wait", &quarantine_settings::permit_wait, {10, 60'000},
                      "Milliseconds that a suspect waits for its turn."),
        kernel::field("longest_run", &quarantine_settings::longest_run, {100, 600'000},
                      "Milliseconds after which a permit ends by itself; an arbiter gives none "
                      "for as long after its start."),
    }};

} // namespace mulberryrudder::entry
