#include "fake_replica.hpp"

namespace mulberryrudder::test
{

namespace
{

control::component_registrar<fake_replica> const entered{"fake_replica",
                                                         control::component_order::replica};

} // namespace

fake_replica::fake_replica(control::component_parts const& parts)
{
    parts.services.provide<fake_replica>(*this);
    parts.services.provide<control::replicated_log>(*this);
    parts.services.provide<control::fleet_state_view>(*this);
}

void fake_replica::tick(control::context& with)
{
    if (leads == told_leads)
        return;
    told_leads = leads;
    if (leads)
        with.observers.publish_leading();
    else
        with.observers.publish_following();
}

control::change_result fake_replica::try_note(control::commit_note const&,
                                              control::fleet_plan&) const
{
    return {};
}

std::optional<log_index> fake_replica::propose_change(control::step_move const&)
{
    return std::nullopt;
}

std::optional<log_index> fake_replica::propose_change(control::end_move const&)
{
    return std::nullopt;
}

} // namespace mulberryrudder::test
