#ifndef MULBERRYRUDDER_TESTS_CONTROL_LEDGER_ADMISSION_BOUND_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_LEDGER_ADMISSION_BOUND_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <vector>

namespace mulberryrudder::test
{

/// A rate and burst that hold from a time on.
struct limit_change
{
    instant from;
    millitokens_per_second rate;
    millitokens burst;
};

/// Returns how far the admissions exceed "burst + rate * t over any interval", in
/// millitokens; zero or less if the bound holds. While the limits change, the larger
/// burst counts from the change until `settle` later, and so does the larger rate.
/// Preconditions: both lists are in order of time; there is a limit.
millitokens worst_excess(std::vector<instant> const& admitted,
                         std::vector<limit_change> const& limits, span settle);

} // namespace mulberryrudder::test

#endif
