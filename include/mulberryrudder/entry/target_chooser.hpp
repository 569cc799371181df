#ifndef MULBERRYRUDDER_ENTRY_TARGET_CHOOSER_HPP
#define MULBERRYRUDDER_ENTRY_TARGET_CHOOSER_HPP

#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/entry/request.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// Picks targets; the choice stage provides it.
///
/// Thread safety: the decision core's thread.
class target_chooser
{
public:
    virtual ~target_chooser() = default;

    /// Returns the best target with a free slot that the request has not tried;
    /// one that it has tried only if `allow_tried` and there is no other.
    virtual std::optional<chosen_target> choose(request const& what, random_source& random,
                                                bool allow_tried) = 0;
};

} // namespace mulberryrudder::entry

#endif
