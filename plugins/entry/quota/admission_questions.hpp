#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_ADMISSION_QUESTIONS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_ADMISSION_QUESTIONS_HPP

#include <mulberryrudder/core/expiring_requests.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/quota.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::entry
{

/// Holds the requests that wait until a control instance admits them. One question at a time is on
/// its way; requests that arrive meanwhile share the next one, so that the number of questions
/// does not grow with the load.
///
/// Thread safety: one owner.
class admission_questions
{
public:
    /// Requests in the order of their arrival, by customer.
    using request_lists = std::map<customer_id, std::vector<request_id>>;

    /// A question that was answered.
    struct answered_question
    {
        instant sent;
        request_lists requests;
    };

    /// Adds a request to the next question.
    void add(customer_id const& customer, request_id id) { waiting_[customer].push_back(id); }

    /// Adds a customer of which requests are expected to the next question.
    void expect(customer_id const& customer) { expecting_.insert(customer); }

    /// Adds a request that this instance admitted alone to what questions tell until `deadline` or
    /// an answer. Precondition: no earlier call had a later deadline.
    void add_spent(customer_id const& customer, instant deadline)
    {
        spent_[customer].add(requests(1), deadline);
    }

    /// Adds a request that control admitted ahead to what the next question tells.
    void add_used_ahead(customer_id const& customer) { used_ahead_[customer] += requests(1); }

    /// Returns whether there is something to ask and no question is on its way.
    bool can_ask() const { return !pending_ && (!waiting_.empty() || !expecting_.empty()); }

    /// Returns the customers of the next question.
    std::set<customer_id> customers() const;

    /// Makes the next question, which also asks for `expected` requests. Precondition: can_ask();
    /// `number` differs from earlier ones.
    messages::quota_question ask(instance_id recipient, sequence_id number, instant now,
                                 instant deadline, std::map<customer_id, requests> expected);

    /// Ends the question that an answer belongs to and returns it, or nothing if the answer
    /// belongs to no question that is on its way.
    std::optional<answered_question> end(instance_id sender, sequence_id number, instant now);

    /// Returns whether the question that is on its way has passed its deadline. An answer that
    /// arrives later must not be used: it admits requests of an earlier time.
    bool is_overdue(instant now) const { return pending_ && pending_->deadline <= now; }

    /// Returns which instance the question that is on its way was sent to; nothing without one.
    std::optional<instance_id> recipient() const
    {
        return pending_ ? std::optional(pending_->recipient) : std::nullopt;
    }

    /// Returns whether the requests of the question that is on its way were asked for before.
    bool is_repeated() const { return pending_ && pending_->is_repeated; }

    /// Ends the question that is on its way and adds its requests to the next one, which repeats
    /// it. Precondition: a question is on its way.
    void repeat();

    /// Ends the question that is on its way; returns its requests and all that wait.
    request_lists give_up();

private:
    struct question
    {
        instance_id recipient;
        sequence_id number;
        instant sent;
        instant deadline;
        request_lists requests;
        std::map<customer_id, mulberryrudder::requests> spent;
        bool is_repeated = false;
    };

    request_lists waiting_;
    std::set<customer_id> expecting_;
    std::map<customer_id, expiring_requests> spent_;
    std::map<customer_id, requests> used_ahead_;
    bool repeats_ = false; ///< Some requests that wait were asked for before.
    std::optional<question> pending_;
};

} // namespace mulberryrudder::entry

#endif
