#ifndef MULBERRYRUDDER_ENTRY_DRAIN_VIEW_HPP
#define MULBERRYRUDDER_ENTRY_DRAIN_VIEW_HPP

namespace mulberryrudder::entry
{

/// Shows whether this instance is being taken out; the drain stage provides it.
///
/// Thread safety: the decision core's thread.
class drain_view
{
public:
    virtual ~drain_view() = default;

    /// Returns whether look-ups must no longer name this instance.
    virtual bool is_leaving() const = 0;
};

} // namespace mulberryrudder::entry

#endif
