#ifndef MULBERRYRUDDER_KERNEL_SERVICE_MAP_HPP
#define MULBERRYRUDDER_KERNEL_SERVICE_MAP_HPP

#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>

namespace mulberryrudder::kernel
{

/// Lets the plug-ins of one decision core find each other's interfaces without
/// knowing each other's classes: a plug-in provides an interface in its
/// constructor and looks others up when it is first asked to decide.
///
/// Thread safety: one owner, the decision core.
class service_map
{
public:
    /// Offers `service` under its interface type. It must outlive the map's users.
    template <class Interface>
    void provide(Interface& service)
    {
        services_[std::type_index(typeid(Interface))] = &service;
    }

    /// Returns the offered interface, or null if no plug-in provides it.
    template <class Interface>
    Interface* find() const
    {
        auto const it = services_.find(std::type_index(typeid(Interface)));
        return it == services_.end() ? nullptr : static_cast<Interface*>(it->second);
    }

    /// Returns the offered interface. Throws std::logic_error if the program was
    /// linked without a plug-in that provides it.
    template <class Interface>
    Interface& require() const
    {
        if (auto* const it = find<Interface>())
            return *it;
        throw std::logic_error(std::string("no plug-in provides ") + typeid(Interface).name());
    }

private:
    std::map<std::type_index, void*> services_;
};

} // namespace mulberryrudder::kernel

#endif
