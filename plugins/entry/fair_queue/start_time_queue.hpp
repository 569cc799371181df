#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_FAIR_QUEUE_START_TIME_QUEUE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_FAIR_QUEUE_START_TIME_QUEUE_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// A place on the queue's virtual clock, in weighted service time.
using virtual_time = strong_id<struct virtual_time_tag, std::uint64_t>;

/// A request that waits.
struct queued_request
{
    request_id id;
    route_id route;
    instant deadline;
    virtual_time start;
};

/// Queues requests by start-time fair queueing (Goyal, Vin and Cheng 1996): each
/// request starts, on the virtual clock, where its customer's previous one ends, and
/// the least start goes first. So a customer's backlog delays itself only, and an
/// idle customer saves up nothing.
///
/// Thread safety: one owner.
class start_time_queue
{
public:
    /// What a request costs and how much its customer's weight divides that.
    struct charge
    {
        customer_id customer;
        span service;
        std::int64_t weight; ///< At least 1.
    };

    /// Charges a request that starts without waiting.
    void start_now(charge const& for_what);

    /// Lets a request wait.
    void push(charge const& for_what, queued_request what);

    /// Removes a request; returns false if it does not wait.
    bool remove(request_id id);

    /// Removes and returns the first request in the order whose route may start.
    std::optional<queued_request> pop(std::function<bool(route_id const&)> const& may_start);

    /// Returns the waiting requests whose deadline is before `limit`.
    std::vector<request_id> due_before(instant limit) const;

    std::size_t size() const { return places_.size(); }

    /// Returns how many requests of the customer wait.
    std::size_t waiting_of(customer_id const& customer) const;

    /// Returns the sum of the weights of the customers that wait.
    std::int64_t waiting_weight() const { return waiting_weight_; }

private:
    /// The requests of one customer on one route, first come first.
    struct flow_key
    {
        customer_id customer;
        route_id route;
        friend auto operator<=>(flow_key const&, flow_key const&) = default;
    };
    using backlog = std::deque<queued_request>;
    struct customer_account
    {
        virtual_time finish;
        std::int64_t weight = 1;
        std::size_t waiting = 0;
    };

    virtual_time reserve(charge const& for_what);
    void enter_head(flow_key const& key, backlog const& of);
    void leave_head(flow_key const& key, backlog const& of);
    void note_removed(queued_request const& what, customer_id const& customer);

    virtual_time now_;
    std::map<customer_id, customer_account> accounts_;
    std::map<flow_key, backlog> flows_;
    std::set<std::pair<virtual_time, flow_key>> heads_;
    std::unordered_map<request_id, flow_key> places_;
    std::multimap<instant, request_id> deadlines_;
    std::int64_t waiting_weight_ = 0;
};

} // namespace mulberryrudder::entry

#endif
