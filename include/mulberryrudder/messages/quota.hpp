#ifndef MULBERRYRUDDER_MESSAGES_QUOTA_HPP
#define MULBERRYRUDDER_MESSAGES_QUOTA_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <map>
#include <optional>
#include <vector>

namespace mulberryrudder::messages
{

/// An entry instance asks its control instance to admit requests of customers with a rate, or a
/// control instance asks the leader for its entries.
struct quota_question
{
    sequence_id number;
    std::map<customer_id, requests> wanted; ///< Requests that wait.
    /// Requests that are expected soon. The leader admits them ahead where the customer is far from
    /// its rate, so that they need not wait.
    std::map<customer_id, requests> expected = {};
    /// Of what was admitted ahead, the requests that came and were not told yet. Told once: what is
    /// lost counts as outstanding until it expires.
    std::map<customer_id, requests> used_ahead = {};
    bool relayed = false; ///< From a control instance.
    /// Contains the question of a control instance that does not reach the leader. The receiver
    /// must not forward it again.
    bool forwarded = false;
    /// The sender's part of the rates, which the receiver may admit from while no leader answers;
    /// nothing in a question to a leader.
    std::optional<per_mille> part = std::nullopt;
    /// What the sender admitted by its own parts of the rates while nobody else decided, and did
    /// not tell yet.
    std::map<customer_id, requests> spent = {};
};

/// What the leader admits of one customer's requests.
struct quota_grant
{
    customer_id customer;
    requests admitted;           ///< Of those that wait; the others are over the rate.
    requests ahead = {};         ///< Of those that are expected.
    milliseconds retry_after{0}; ///< Time until it can admit another one.

    friend bool operator==(quota_grant const&, quota_grant const&) = default;
};

/// The answer to a quota_question. It omits customers about which nothing could be decided.
struct quota_answer
{
    sequence_id number; ///< Of the question.
    std::vector<quota_grant> grants;
    /// Customers that used up most of what they may send at once; nothing if no leader answered.
    /// Without these, grants are from the parts of the rates.
    std::optional<std::vector<customer_id>> pressed;
    /// Time, from the sending of the question on, for which `ahead` of the grants holds.
    milliseconds ahead_lifetime{0};
};

} // namespace mulberryrudder::messages

#endif
