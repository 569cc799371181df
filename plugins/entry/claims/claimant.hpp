#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMANT_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMANT_HPP

#include "claims_settings.hpp"

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/claims.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::entry
{

/// Progress of a claim on the claimant's side.
enum class claim_progress
{
    pending, ///< Waits for the keepers' answers.
    granted,
    denied ///< No majority; requested_claim::reason() returns the deciding answer.
};

/// The claimant's side of one claim: counts the keepers' answers.
///
/// Thread safety: one owner.
class requested_claim
{
public:
    requested_claim(messages::claim_request request, instant deadline)
        : request_(std::move(request)), deadline_(deadline)
    {
    }

    messages::claim_request const& request() const { return request_; }
    claim_progress progress() const { return progress_; }
    instant deadline() const { return deadline_; }

    /// Counts a keeper's answer; ignores answers of instances that are not keepers.
    /// Grants or denies the claim if the answers decide it.
    void add_answer(instance_id keeper, messages::claim_answer const& answer, instant now);

    /// Decides the claim by the answers so far if its deadline has passed.
    void expire(instant now);

    /// Returns the answer that decided a denied claim; nothing if too few keepers
    /// answered and none has an earlier claim.
    std::optional<messages::claim_answer> const& reason() const { return reason_; }

private:
    void evaluate(instant now);
    std::size_t grant_count() const;

    messages::claim_request request_;
    instant deadline_;
    claim_progress progress_ = claim_progress::pending;
    std::map<instance_id, messages::claim_answer> answers_;
    std::optional<messages::claim_answer> reason_;
};

/// Resends the end of each claim until every keeper has acknowledged it or the
/// setting `end_retry` has elapsed.
///
/// Thread safety: one owner.
class claim_end_sender
{
public:
    /// A message that is due for sending.
    struct due_end
    {
        instance_id receiver;
        messages::claim_end message;
    };

    explicit claim_end_sender(claims_settings const& config) : config_(config) {}

    /// Adds an end; it is due at once.
    void add(messages::claim_end message, std::vector<instance_id> const& keepers, instant now);

    /// Stops resending the acknowledged end to this keeper.
    void acknowledge(instance_id keeper, messages::claim_end_ack const& ack);

    /// Returns the messages that are due and schedules their next resend; discards ends
    /// whose retry time is over.
    std::vector<due_end> due(instant now);

private:
    struct pending_end
    {
        messages::claim_end message;
        std::set<instance_id> unacknowledged;
        instant next_send;
        instant deadline;
    };

    claims_settings const& config_;
    std::map<std::pair<messages::claim_id, messages::claim_holder>, pending_end> pending_;
};

} // namespace mulberryrudder::entry

#endif
