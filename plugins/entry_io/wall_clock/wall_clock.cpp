#include <mulberryrudder/core/wall_clock.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

/// Provides the machine's time of day to the stages. It is linked into programs
/// only, so that tests stay on virtual time.
class system_wall_clock final : public stage, public wall_clock
{
public:
    explicit system_wall_clock(stage_parts const& parts)
    {
        parts.services.provide<wall_clock>(*this);
    }

    milliseconds since_epoch() const override
    {
        auto const since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<milliseconds>(since);
    }
};

constexpr int before_all_rules = 10;
stage_registrar<system_wall_clock> const entered{"wall_clock", before_all_rules};

} // namespace

} // namespace mulberryrudder::entry
