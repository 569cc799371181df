#ifndef MULBERRYRUDDER_CORE_MESSAGE_NUMBER_HPP
#define MULBERRYRUDDER_CORE_MESSAGE_NUMBER_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/random.hpp>

namespace mulberryrudder
{

/// Returns the number that follows `last` among the messages of one kind. The first one, after a
/// default `last`, is drawn at random, so that an answer to a message of an earlier start of this
/// instance does not match.
///
/// Thread safety: any thread, on distinct random sources.
inline sequence_id next_message_number(sequence_id last, random_source& random)
{
    auto const previous = last == sequence_id() ? random() >> 16U : last.value();
    return sequence_id(previous + 1);
}

} // namespace mulberryrudder

#endif
