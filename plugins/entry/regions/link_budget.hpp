#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_REGIONS_LINK_BUDGET_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_REGIONS_LINK_BUDGET_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

namespace mulberryrudder::entry
{

/// Counts this instance's bytes on a link against its part of the link's cap, by a
/// token bucket. Replies may overdraw it, as their size is not known beforehand; then
/// nothing new is sent until the debt is paid.
///
/// Thread safety: one owner.
class link_budget
{
public:
    /// Returns whether `size` may be sent now.
    bool has_room(byte_count size, bytes_per_second rate, instant now)
    {
        refill(rate, now);
        return saved_ >= size;
    }

    void charge(byte_count size, bytes_per_second rate, instant now)
    {
        refill(rate, now);
        saved_ -= size;
    }

private:
    /// Time for which a link may be used at once after it was idle.
    static constexpr milliseconds burst{100};

    void refill(bytes_per_second rate, instant now);

    byte_count saved_;
    instant refilled_at_;
};

} // namespace mulberryrudder::entry

#endif
