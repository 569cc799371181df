#include "arrival_times.hpp"

#include <algorithm>

namespace mulberryrudder::caller_http
{

namespace
{

/// Bounds what a caller costs that sends single bytes.
constexpr std::size_t max_pieces = 64;

} // namespace

void arrival_times::note(byte_count end, instant now)
{
    if (!pieces_.empty() && pieces_.back().end == end)
        return;
    if (pieces_.size() == max_pieces)
        pieces_.back() = {.end = end, .read = now};
    else
        pieces_.push_back({.end = end, .read = now});
}

instant arrival_times::of(byte_count position) const
{
    return std::find_if(pieces_.begin(), pieces_.end(),
                        [position](piece const& it) { return it.end > position; })
        ->read;
}

void arrival_times::forget_before(byte_count position)
{
    while (!pieces_.empty() && pieces_.front().end <= position)
        pieces_.pop_front();
}

} // namespace mulberryrudder::caller_http
