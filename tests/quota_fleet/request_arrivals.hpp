#ifndef MULBERRYRUDDER_TESTS_QUOTA_FLEET_REQUEST_ARRIVALS_HPP
#define MULBERRYRUDDER_TESTS_QUOTA_FLEET_REQUEST_ARRIVALS_HPP

#include "admission_record.hpp"

#include <mulberryrudder/core/random.hpp>

#include <cstdint>
#include <random>

namespace mulberryrudder::testing
{

/// Calls `send` for each request that arrives in a step of admission_record. They arrive at random,
/// so their number varies; `rate` is in thousandths of a request a second. Integer arithmetic gives
/// the same schedule on all machines.
template <class Send>
void draw_arrivals(std::int64_t rate, random_source& random, Send const& send)
{
    // Slots of time within a step, each of which brings at most one request.
    constexpr int slots_per_step = 100;
    std::uniform_int_distribution<std::int64_t> draw(0,
                                                     std::int64_t{1'000'000} * slots_per_step - 1);
    for (int n = 0; n != slots_per_step; ++n)
        if (draw(random) < rate * admission_record::step.count())
            send();
}

} // namespace mulberryrudder::testing

#endif
