#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_RECENT_OBJECTS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_RECENT_OBJECTS_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <unordered_map>

namespace mulberryrudder::entry
{

/// Counts the objects that requests were about in the last minute.
///
/// Thread safety: one owner.
class recent_objects
{
public:
    void note(object_id const& object, instant now) { seen_[object] = now; }

    /// Forgets objects that were not asked for lately.
    void expire(instant now)
    {
        std::erase_if(seen_, [now](auto const& it) { return it.second + remembered < now; });
    }

    std::size_t count() const { return seen_.size(); }

private:
    /// Longer than the pause between two requests for an object at an entry with little
    /// traffic: 10 a second about 200 objects see nine tenths of them.
    static constexpr seconds remembered{60};

    std::unordered_map<object_id, instant> seen_;
};

} // namespace mulberryrudder::entry

#endif
