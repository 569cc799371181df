#ifndef MULBERRYRUDDER_KERNEL_WIRING_HPP
#define MULBERRYRUDDER_KERNEL_WIRING_HPP

#include <mulberryrudder/core/strong.hpp>
#include <mulberryrudder/kernel/ring.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <tuple>
#include <typeindex>
#include <vector>

namespace mulberryrudder::kernel
{

/// Names a duty within its process.
using duty_name = strong_id<struct duty_name_tag, std::string>;

/// Owns the rings between the duties of a process. Producer and consumer each ask
/// for the link by the same names and type and get the same ring, so neither
/// needs to know the other's class.
///
/// Thread safety: used by one thread, before the duties start.
class wiring
{
public:
    /// Returns the ring for messages of type T from one duty to another. The first
    /// call makes it with `capacity`; later calls return the same one.
    template <class T>
    ring<T>& link(duty_name const& from, duty_name const& to, std::size_t capacity)
    {
        link_key const key{from, to, std::type_index(typeid(T))};
        auto it = rings_.find(key);
        if (it == rings_.end())
        {
            auto made = std::make_unique<ring<T>>(capacity, waker_of(to));
            it = rings_.emplace(key, std::move(made)).first;
            inboxes_[to].push_back(it->second.get());
        }
        return static_cast<ring<T>&>(*it->second);
    }

    /// Returns the rings for messages of type T that end at a duty.
    template <class T>
    std::vector<ring<T>*> links_to(duty_name const& to)
    {
        std::vector<ring<T>*> out;
        for (auto const& [key, it] : rings_)
            if (std::get<1>(key) == to && std::get<2>(key) == std::type_index(typeid(T)))
                out.push_back(static_cast<ring<T>*>(it.get()));
        return out;
    }

    /// Returns the waker of a duty's thread; it lives as long as the wiring.
    waker& waker_of(duty_name const& name)
    {
        auto& it = wakers_[name];
        if (!it)
            it = std::make_unique<waker>();
        return *it;
    }

    /// Returns the rings that end at a duty, for its check before it sleeps.
    std::vector<ring_base const*> const& inbox(duty_name const& name) { return inboxes_[name]; }

private:
    using link_key = std::tuple<duty_name, duty_name, std::type_index>;

    std::map<duty_name, std::unique_ptr<waker>> wakers_;
    std::map<link_key, std::unique_ptr<ring_base>> rings_;
    std::map<duty_name, std::vector<ring_base const*>> inboxes_;
};

} // namespace mulberryrudder::kernel

#endif
