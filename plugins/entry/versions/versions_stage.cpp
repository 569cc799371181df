#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

/// Chooses the target version of each request.
///
/// Thread safety: the decision core's thread.
class versions_stage final : public stage
{
public:
    explicit versions_stage(stage_parts const& parts) : services_(parts.services) {}

    step admit(request& what, context&) override
    {
        auto const& config = services_.require<fleet_view>().config();
        auto const route = config.routes.find(what.route);
        if (route != config.routes.end())
            what.version = route->second.version;
        return proceed{};
    }

private:
    kernel::service_map const& services_;
};

stage_registrar<versions_stage> const entered{"versions", stage_order::versions};

} // namespace

} // namespace mulberryrudder::entry
