#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_ADMISSION_QUESTIONS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUOTA_ADMISSION_QUESTIONS_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/quota.hpp>

#include <map>
#include <optional>
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

    /// Adds a request to the next question.
    void add(customer_id const& customer, request_id id) { waiting_[customer].push_back(id); }

    /// Returns whether requests wait and no question is on its way.
    bool can_ask() const { return !pending_ && !waiting_.empty(); }

    /// Makes the next question. Precondition: can_ask(); `number` differs from earlier ones.
    messages::quota_question ask(instance_id recipient, sequence_id number, instant deadline);

    /// Ends the question that an answer belongs to; returns its requests, or nothing if the answer
    /// belongs to no question that is on its way.
    std::optional<request_lists> end(instance_id sender, sequence_id number);

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
        instant deadline;
        request_lists requests;
        bool is_repeated = false;
    };

    request_lists waiting_;
    bool repeats_ = false; ///< Some requests that wait were asked for before.
    std::optional<question> pending_;
};

} // namespace mulberryrudder::entry

#endif
