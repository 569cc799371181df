#include "control_search.hpp"

namespace mulberryrudder::entry
{

namespace
{

/// Time between two rounds: more than a round trip between regions.
constexpr milliseconds round_interval{500};

} // namespace

bool control_search::begin(instant first_round)
{
    if (is_active())
        return false;
    next_round_ = first_round;
    return true;
}

bool control_search::end()
{
    bool const was_active = is_active();
    next_round_.reset();
    awaited_.reset();
    return was_active;
}

void control_search::start_round(sequence_id number, instant now)
{
    awaited_ = number;
    next_round_ = now + round_interval;
}

} // namespace mulberryrudder::entry
