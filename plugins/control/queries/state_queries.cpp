#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/operator_state.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <array>

namespace mulberryrudder::control
{

namespace
{

/// Tells operators how the state stands; any replica answers from what it applied.
///
/// Thread safety: the decision core's thread.
class state_queries final : public component
{
public:
    explicit state_queries(component_parts const& parts) : services_(parts.services) {}

    bool asked(operator_asked const& it, context& with) override
    {
        static std::array const table{on<&state_queries::tell_status>(),
                                      on<&state_queries::tell_config>()};
        return dispatch(*this, table, it.id, it.body, with);
    }

private:
    void tell_status(operator_request_id asker, status_query const&, context& with)
    {
        auto const& log = services_.require<replicated_log>();
        auto const& state = services_.require<fleet_state_view>();
        auto const config = state.config();
        status_report out{.instance = with.self.self.id,
                          .may_act = log.may_act(with.now),
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
        with.answer(asker, std::move(out));
    }

    void tell_config(operator_request_id asker, config_query const&, context& with)
    {
        auto const& state = services_.require<fleet_state_view>();
        with.answer(asker, config_report{services_.require<replicated_log>().may_act(with.now),
                                         {state.config(), state.moves()}});
    }

    kernel::service_map& services_;
};

component_registrar<state_queries> const entered{"state_queries", component_order::queries};

} // namespace

} // namespace mulberryrudder::control
