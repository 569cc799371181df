#include "state_confirmation.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

namespace
{

/// Time between two messages whose times are kept; a message in between counts as sent at the
/// time of the one before it.
constexpr milliseconds recording_interval{50};
/// Limit of the messages whose times are kept: more than are sent while a confirmation is of
/// use.
constexpr std::size_t max_sent = 128;
/// Limit of the generations of which reports are kept until this instance holds them.
constexpr std::size_t max_newer = 32;

} // namespace

void state_confirmation::record_sent(sequence_id number, instant now)
{
    if (!sent_.empty() && now < sent_.back().time + recording_interval)
        return;
    sent_.push_back({number, now});
    if (sent_.size() > max_sent)
        sent_.pop_front();
}

void state_confirmation::record_report(sequence_id echoed, generation_id generation,
                                       milliseconds age)
{
    auto const later = std::upper_bound(sent_.begin(), sent_.end(), echoed,
                                        [](sequence_id number, sent_message const& it)
                                        { return number < it.number; });
    if (later == sent_.begin())
        return;
    auto& newest = newer_[generation];
    newest = std::max(newest, std::prev(later)->time - age);
    if (newer_.size() > max_newer)
        newer_.erase(std::prev(newer_.end()));
}

std::optional<instant> state_confirmation::confirmed_at(generation_id own)
{
    auto const held = newer_.upper_bound(own);
    for (auto it = newer_.begin(); it != held; ++it)
        confirmed_at_ = std::max(confirmed_at_.value_or(it->second), it->second);
    newer_.erase(newer_.begin(), held);
    return confirmed_at_;
}

} // namespace mulberryrudder::control
