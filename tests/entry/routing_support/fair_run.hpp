#ifndef MULBERRYRUDDER_TESTS_ENTRY_ROUTING_SUPPORT_FAIR_RUN_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_ROUTING_SUPPORT_FAIR_RUN_HPP

#include "fleet.hpp"

namespace mulberryrudder::entry
{

/// Eight customers, three of them large, share 32 slots behind one entry instance;
/// one of the large ones sends `surge` times its rate. Arrivals and service times
/// depend on the seed only.
struct fair_options
{
    std::uint64_t seed = 1;
    std::string order = "start_time"; ///< As in the settings of the fair queue.
    int surge = 1;
    seconds length{40};
};

/// What the customers other than the surging one saw.
struct fair_result
{
    span worst_p99{0}; ///< Of the worst-served customer's whole replies.
    std::uint64_t asked = 0;
    std::uint64_t refused = 0;
};

fair_result run_fair(fair_options const& with);

} // namespace mulberryrudder::entry

#endif
