#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/core/wall_clock.hpp>

namespace mulberryrudder::control
{

namespace
{

/// Provides the machine's time of day to the components. It is linked into
/// programs only, so that tests stay on virtual time.
class system_wall_clock final : public component, public wall_clock
{
public:
    explicit system_wall_clock(component_parts const& parts)
    {
        parts.services.provide<wall_clock>(*this);
    }

    milliseconds since_epoch() const override
    {
        auto const since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<milliseconds>(since);
    }
};

constexpr int before_all_components = 10;
component_registrar<system_wall_clock> const entered{"wall_clock", before_all_components};

} // namespace

} // namespace mulberryrudder::control
