#include "quarantine_settings.hpp"

namespace mulberryrudder::entry
{

kernel::section<quarantine_settings> const quarantine_section{
    "quarantine",
    {
        kernel::field("time", &quarantine_settings::quarantine_time, {1'000, 86'400'000},
                      "Milliseconds for which a request is refused after two targets crashed while "
                      "they ran it."),
        kernel::field("suspect_time", &quarantine_settings::suspect_time, {1'000, 3'600'000},
                      "Milliseconds for which a request runs only under a permit after one target "
                      "crashed while it ran the request."),
        kernel::field("permit_wait", &quarantine_settings::permit_timeout, {10, 60'000},
                      "Milliseconds that a suspected request waits for its permit."),
        kernel::field("longest_run", &quarantine_settings::max_run_time, {100, 600'000},
                      "Milliseconds after which a permit expires; an arbiter grants none for the "
                      "same time after its start."),
    }};

} // namespace mulberryrudder::entry
