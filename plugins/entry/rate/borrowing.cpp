#include "borrowing.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

constexpr unsigned most_doublings = 8;

} // namespace

messages::borrow_request borrowing::ask(instant now)
{
    sequence_ = sequence_id(sequence_.value() + 1);
    open_ = open_request{
        .sequence = sequence_, .sent = now, .deadline = now + settings_.borrow_timeout};
    next_top_up_ = now + settings_.top_up_period;
    return {.sequence = sequence_, .settled = settled_};
}

std::optional<millitokens> borrowing::answered(messages::borrow_grant const& it, instant now)
{
    if (!open_ || open_->sequence != it.sequence)
        return std::nullopt;
    auto const usable_until = std::min(open_->deadline, open_->sent + it.valid_for);
    abandon();
    if (now >= usable_until)
        return std::nullopt;
    return it.lent;
}

void borrowing::put_off(instant now, random_source& random)
{
    span const grown = span(settings_.borrow_again) * (1U << std::min(shortfalls_, most_doublings));
    auto const longest = std::min(grown, span(settings_.borrow_most));
    ++shortfalls_;
    std::uniform_int_distribution<span::rep> part(longest.count() / 2, longest.count());
    next_ = now + span(part(random));
}

bool borrowing::give_up(instant now)
{
    if (!open_ || now < open_->deadline)
        return false;
    abandon();
    return true;
}

void borrowing::abandon()
{
    settled_ = sequence_;
    open_.reset();
}

} // namespace mulberryrudder::entry
