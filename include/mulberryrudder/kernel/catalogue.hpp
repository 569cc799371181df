#ifndef MULBERRYRUDDER_KERNEL_CATALOGUE_HPP
#define MULBERRYRUDDER_KERNEL_CATALOGUE_HPP

#include <deque>

namespace mulberryrudder::kernel
{

/// Lists the kinds of one class that plug-ins define as static objects. A kind
/// enters itself from its constructor; the list is complete when main starts.
///
/// Thread safety: entries are added before main; reading afterwards is free.
template <class Kind>
class catalogue
{
public:
    static catalogue& instance()
    {
        static catalogue it;
        return it;
    }

    /// Adds a kind that lives until the process ends; returns its position.
    std::size_t add(Kind const& kind)
    {
        kinds_.push_back(&kind);
        return kinds_.size() - 1;
    }

    std::deque<Kind const*> const& kinds() const { return kinds_; }

private:
    std::deque<Kind const*> kinds_;
};

} // namespace mulberryrudder::kernel

#endif
