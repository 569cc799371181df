#ifndef MULBERRYRUDDER_KERNEL_REGISTRY_HPP
#define MULBERRYRUDDER_KERNEL_REGISTRY_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryrudder::kernel
{

/// Lists the plug-ins that implement an interface and were linked into this
/// program. `Args` are what a factory needs to make one.
///
/// Thread safety: entries are added before main; reading afterwards is free.
template <class Interface, class... Args>
class registry
{
public:
    using factory = std::function<std::unique_ptr<Interface>(Args...)>;

    struct entry
    {
        std::string_view name;
        int order; ///< Plug-ins are made and asked in ascending order.
        factory make;
    };

    static registry& instance()
    {
        static registry it;
        return it;
    }

    void add(entry added)
    {
        auto const at = std::upper_bound(entries_.begin(), entries_.end(), added, before);
        entries_.insert(at, std::move(added));
    }

    /// Returns the entries in ascending order.
    std::vector<entry> const& entries() const { return entries_; }

    /// Makes one of each plug-in, in ascending order.
    std::vector<std::unique_ptr<Interface>> make_all(Args... args) const
    {
        std::vector<std::unique_ptr<Interface>> out;
        for (auto const& it : entries_)
            out.push_back(it.make(args...));
        return out;
    }

private:
    static bool before(entry const& a, entry const& b)
    {
        return std::pair(a.order, a.name) < std::pair(b.order, b.name);
    }

    std::vector<entry> entries_;
};

/// Enters a plug-in into its registry from a static object's constructor:
///
///     static registrar<stage, rate_stage, stage_parts const&> const entered{"rate", 300};
///
/// Link the plug-in as a CMake OBJECT library: a linker drops unreferenced
/// objects of a static archive, and the registrar with them.
template <class Interface, class Implementation, class... Args>
class registrar
{
public:
    registrar(std::string_view name, int order)
    {
        registry<Interface, Args...>::instance().add(
            {.name = name, .order = order, .make = [](Args... args) {
                 return std::make_unique<Implementation>(args...);
             }});
    }
};

} // namespace mulberryrudder::kernel

#endif
