#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/operator_state.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

/// Answers operators' queries for the status and the configuration. Any replica answers, from
/// the log entries that it applied.
///
/// Thread safety: the decision core's thread.
class state_queries final : public component
{
public:
    explicit state_queries(component_parts const& parts) : services_(parts.services) {}

    bool asked(operator_asked const& request, context& ctx) override
    {
        static std::array const table{on<&state_queries::report_status>(),
                                      on<&state_queries::report_config>()};
        return dispatch(*this, table, request.id, request.body, ctx);
    }

private:
    void report_status(operator_request_id requester, status_query const&, context& ctx)
    {
        auto const& log = services_.require<replicated_log>();
        auto const& state = services_.require<fleet_state_view>();
        auto const config = state.config();
        status_report out{.instance = ctx.self.self.id,
                          .may_act = log.may_act(ctx.now),
                          .leader = log.leader(),
                          .term = log.term(),
                          .applied = log.applied_index(),
                          .generation = config->generation,
                          .last_note = std::nullopt,
                          .customers = config->customers.size(),
                          .routes = config->routes.size(),
                          .moves = state.moves().size(),
                          .quarantined = config->quarantined.size(),
                          .draining = config->draining.size()};
        if (!state.notes().empty())
            out.last_note = state.notes().rbegin()->second;
        ctx.answer(requester, std::move(out));
    }

    void report_config(operator_request_id requester, config_query const&, context& ctx)
    {
        auto const& state = services_.require<fleet_state_view>();
        ctx.answer(requester, config_report{services_.require<replicated_log>().may_act(ctx.now),
                                            {state.config(), state.moves()}});
    }

    kernel::service_map& services_;
};

component_registrar<state_queries> const registrar{"state_queries", component_order::queries};

} // namespace

} // namespace mulberryrudder::control
