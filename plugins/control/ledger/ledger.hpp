#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_LEDGER_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_LEDGER_HPP

#include "headroom_ledger.hpp"
#include "rate_ledger.hpp"

#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <deque>
#include <map>

namespace mulberryrudder::control
{

/// Provides what leases carry of rates and headroom, and lends tokens on request.
///
/// Thread safety: the decision core's thread.
class ledger final : public component, public lease_parts
{
public:
    explicit ledger(component_parts const& parts);

    void received(envelope const& it, context& with) override;
    void applied(log_entry const& it, context& with) override;
    void leading(context& with) override;
    void following(context& with) override;
    void tick(context& with) override;

    std::vector<lease_part*> const& all() override { return parts_; }

    rate_ledger const& rates() const { return rates_; }
    headroom_ledger const& headroom() const { return headroom_; }

    /// Handler of a message, for the table.
    void borrowed(instance_id from, messages::borrow_request const& it, context& with);

private:
    /// A question that waits until there are tokens for it.
    struct waiting_loan
    {
        instance_id from;
        messages::borrow_request asked;
        instant arrived;
        instant until;
    };

    void configure(context const& with);
    void answer(instance_id to, messages::borrow_request const& it, span waited, context& with);
    void answer_waiting(context& with);
    void answer_front(std::deque<waiting_loan>& queue, context& with);

    ledger_settings const& settings_;
    kernel::service_map const& services_;
    rate_ledger rates_;
    headroom_ledger headroom_;
    std::vector<lease_part*> parts_;
    std::map<customer_id, std::deque<waiting_loan>> waiting_; ///< In the order of arrival.
};

} // namespace mulberryrudder::control

#endif
