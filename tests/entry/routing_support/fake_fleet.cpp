#include "rig.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

namespace mulberryrudder::entry
{

namespace
{

refusal_kind const lapsed({.name = "fake_lapsed",
                           .counter_name = "refused.fake_lapsed",
                           .status = 503,
                           .meaning = "The fake lease has lapsed."});

/// Stands in for the lease stage: it believes each grant that it receives.
class fake_fleet final : public stage, private fleet_view
{
public:
    explicit fake_fleet(stage_parts const& parts) { parts.services.provide<fleet_view>(*this); }

    void received(envelope const& it, context& with) override
    {
        auto const* const grant = it.body.get<messages::lease_grant>();
        if (grant == nullptr)
            return;
        deadline_ = with.now + grant->valid_for;
        members_ = grant->members;
        term_ = grant->term;
        if (grant->config)
            config_ = grant->config;
        with.flow.publish_lease(*grant);
    }

    /// Marks a request of a customer as repeatable by its method, as the key stage does.
    step admit(request& what, context&) override
    {
        what.repeatable = is_idempotent(what.content->method);
        for (auto const& it : what.content->fields)
            if (it.name == "customer")
                what.customer = customer_id(it.value);
        return proceed{};
    }

    step recheck(request const& what, context& with) override
    {
        if (!what.customer.value().empty() && !lease_live(with.now))
            return refuse(lapsed);
        return proceed{};
    }

private:
    bool lease_live(instant now) const override { return now < deadline_; }
    instant lease_deadline() const override { return deadline_; }
    fleet_config const& config() const override { return *config_; }
    std::vector<messages::member> const& members() const override { return members_; }
    instance_id leader() const override { return instance_id(900); }
    term_id term() const override { return term_; }

    instant deadline_;
    std::vector<messages::member> members_;
    std::shared_ptr<fleet_config const> config_ = std::make_shared<fleet_config const>();
    term_id term_;
};

stage_registrar<fake_fleet> const entered{"lease", stage_order::lease};

} // namespace

} // namespace mulberryrudder::entry
