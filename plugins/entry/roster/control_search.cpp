#include "control_search.hpp"

namespace mulberryrudder::entry
{

namespace
{

/// Time between two rounds: more than a round trip between regions.
constexpr milliseconds round_interval{500};
/// Time for which a chosen instance may take to answer: a newer plan on a slow link.
constexpr milliseconds choice_timeout{1000};

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
    first_awaited_.reset();
    return was_active;
}

void control_search::start_round(sequence_id number, instant now)
{
    first_awaited_ = first_awaited_.value_or(number);
    newest_ = number;
    next_round_ = now + round_interval;
}

bool control_search::awaits(sequence_id number) const
{
    return first_awaited_ && *first_awaited_ <= number && number <= newest_;
}

void control_search::choose(instant now)
{
    first_awaited_.reset();
    next_round_ = now + choice_timeout;
}

} // namespace mulberryrudder::entry
