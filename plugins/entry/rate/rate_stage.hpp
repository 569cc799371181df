#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_RATE_RATE_STAGE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_RATE_RATE_STAGE_HPP

#include "borrowing.hpp"
#include "customer_slice.hpp"
#include "rate_settings.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <deque>
#include <map>

namespace mulberryrudder::entry
{

/// Admits a customer's requests within its slice of the fleet-wide rate, and asks
/// the ledger for tokens before it refuses. A request pays once; one that another
/// instance forwarded has paid there. Requests of open routes do not pay.
///
/// Thread safety: the decision core's thread.
class rate_stage final : public stage
{
public:
    explicit rate_stage(stage_parts const& parts);

    step admit(request& what, context& with) override;
    void finished(request const& what, outcome const& how, context& with) override;
    void received(envelope const& it, context& with) override;
    void leased(messages::lease_grant const& it, context& with) override;
    void report(messages::renew_request& out, context& with) override;
    void stopping(context& with) override;
    void tick(context& with) override;

    /// Handler of a message, for the table.
    void lent(instance_id from, messages::borrow_grant const& it, context& with);

private:
    struct waiting_request
    {
        request_id id;
        instant until;
    };
    /// One customer on this instance.
    struct account
    {
        account(instant now, rate_settings const& settings) : slice(now), loans(settings) {}

        customer_slice slice;
        borrowing loans;
        std::deque<waiting_request> waiting;
    };

    fleet_view const& view();
    account& account_of(customer_id const& customer, instant now);
    bool pays(request const& what);
    void note_lapse(instant now);
    step enqueue(account& of, request const& what, context& with);
    void ask_for_waiting(customer_id const& customer, account& of, context& with);
    void ask_in_advance(customer_id const& customer, account& of, context& with);
    void ask(customer_id const& customer, account& of, millitokens needed, millitokens wanted,
             context& with);
    void serve(account& of, context& with);
    void refuse_overdue(account& of, context& with);
    void tend(customer_id const& customer, account& of, context& with);

    rate_settings const& settings_;
    kernel::service_map const& services_;
    fleet_view const* view_ = nullptr;
    std::map<customer_id, account> accounts_;
    instant valid_until_{}; ///< Deadline of the lease that carries the slices in force.
    bool stopping_ = false;
};

} // namespace mulberryrudder::entry

#endif
