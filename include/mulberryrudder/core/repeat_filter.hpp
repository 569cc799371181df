#ifndef MULBERRYRUDDER_CORE_REPEAT_FILTER_HPP
#define MULBERRYRUDDER_CORE_REPEAT_FILTER_HPP

#include <mulberryrudder/core/time.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace mulberryrudder
{

/// Selects the occurrences of a fault that are logged, so that one that comes with each message
/// of a sender does not fill the log.
///
/// Thread safety: one owner.
class repeat_filter
{
public:
    /// Preconditions: both are positive. Of one sender, one occurrence in each `interval` is
    /// selected; at most `max_senders` senders are remembered.
    repeat_filter(span interval, std::size_t max_senders)
        : interval_(interval), max_senders_(max_senders)
    {
    }

    /// Returns whether an occurrence is selected. While too many senders are remembered, none of
    /// a further one is.
    bool select(std::string_view sender, instant now)
    {
        if (auto const known = ends_.find(sender); known != ends_.end() && known->second > now)
            return false;
        std::erase_if(ends_, [now](auto const& it) { return it.second <= now; });
        if (ends_.size() >= max_senders_)
            return false;
        ends_.emplace(sender, now + interval_);
        return true;
    }

private:
    span interval_;
    std::size_t max_senders_;
    std::map<std::string, instant, std::less<>> ends_;
};

} // namespace mulberryrudder

#endif
