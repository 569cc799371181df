#ifndef MULBERRYRUDDER_ENTRY_SPILL_VIEW_HPP
#define MULBERRYRUDDER_ENTRY_SPILL_VIEW_HPP

#include <mulberryrudder/core/time.hpp>

namespace mulberryrudder::entry
{

/// Shows whether requests can run in other failure domains; the regions stage
/// provides it.
///
/// Thread safety: the decision core's thread.
class spill_view
{
public:
    virtual ~spill_view() = default;

    /// Returns whether this instance holds any headroom grant, used up or not.
    virtual bool has_grants(instant now) const = 0;
};

} // namespace mulberryrudder::entry

#endif
