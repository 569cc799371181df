#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_RECENT_OBJECTS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_RECENT_OBJECTS_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <unordered_map>

namespace mulberryrudder::entry
{

/// Counts the distinct objects requested within the last minute.
///
/// Thread safety: one owner.
class recent_objects
{
public:
    void record(object_id const& object, instant now) { seen_[object] = now; }

    /// Removes objects that were not requested within the retention time.
    void expire(instant now)
    {
        std::erase_if(seen_, [now](auto const& it) { return it.second + retention < now; });
    }

    std::size_t count() const { return seen_.size(); }

private:
    /// Exceeds the interval between two requests for an object at an entry with little
    /// traffic: at 10 requests a second for 200 objects, nine tenths of the objects are seen.
    static constexpr seconds retention{60};

    std::unordered_map<object_id, instant> seen_;
};

} // namespace mulberryrudder::entry

#endif
